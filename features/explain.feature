Feature: the entries explain themselves
  An operator asks why a request, a server or a revision was treated as it
  was, and gets sentences from each entry's latest decisions.

  Background:
    Given the demo's fleet

  Scenario: a request that was answered
    When a caller reads card 7 as request "r-1"
    Then explaining request "r-1" says "went to card-"
    And explaining request "r-1" says "of pool card, chosen by"

  Scenario: a request that was refused
    Given card servers that shed every request
    When a caller reads card 7 as request "r-2"
    Then explaining request "r-2" says "refused with code server-shed, told not-run"

  Scenario: a server that fails is left out
    Given every card server fails fast
    When a caller reads 60 cards and posts 0 times
    Then explaining the card servers says that a server was left out

  Scenario: a server that is taken out
    When an edit marks card server 0 as leaving
    Then explaining server "card-0" says "is leaving, says its table"
    And explaining revision "2" says "revision 2 came into force here"

  Scenario: a request that nobody knows
    Then explaining request "r-none" says nothing

  Scenario: no entry answers
    Given the entries are stopped
    Then explaining fails with code "explain-unavailable"

  Scenario: attempts are numbered in the order in which they were sent
    Given card servers that shed every request
    When a caller reads card 7 as request "r-3"
    Then explaining request "r-3" says "attempt 1 went to"
    And explaining request "r-3" says "attempt 2 went to"

  Scenario: what the entries take each other for
    Then in the end explaining entry "entry-1" says "entry entry-1 became live: last heartbeat"
