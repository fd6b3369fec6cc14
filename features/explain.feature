Feature: entries explain their decisions
  An operator asks why a request, a server or a revision was treated as it
  was. Each entry describes its latest decisions on that subject.

  Background:
    Given the demo's fleet

  Scenario: an answered request is explained by the choice of its server
    When a caller reads card 7 as request "r-1"
    Then explaining request "r-1" says "went to card-"
    And explaining request "r-1" says "of pool card, chosen by"

  Scenario: a refused request is explained by its code and outcome
    Given card servers that shed every request
    When a caller reads card 7 as request "r-2"
    Then explaining request "r-2" says "refused with code server-shed, outcome not-run"

  Scenario: a failing server is ejected
    Given every card server fails fast
    When a caller reads 60 cards and posts 0 times
    Then explaining the card servers says that a server was ejected

  Scenario: a server that the tables mark as leaving
    When an edit marks card server 0 as leaving
    Then explaining server "card-0" says "is leaving, reported by: table"
    And explaining revision "2" says "revision 2 took effect here"

  Scenario: no entry knows the request
    Then explaining request "r-none" says nothing

  Scenario: no entry responds
    Given the entries are stopped
    Then explaining fails with code "explain-unavailable"

  Scenario: attempts are numbered in sending order
    Given card servers that shed every request
    When a caller reads card 7 as request "r-3"
    Then explaining request "r-3" says "attempt 1 went to"
    And explaining request "r-3" says "attempt 2 went to"

  Scenario: an entry records the state of its peers
    Then eventually explaining entry "entry-1" says "entry entry-1 became live: last heartbeat"
