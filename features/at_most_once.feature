Feature: at most once
  A non-idempotent request with a key runs at most once, whatever the caller
  repeats, and what it is told is true.

  Background:
    Given 2 entries with a shared key secret before 2 scripted servers

  Scenario Outline: a repeat of <kind> gets the stored answer
    Given <kind> of entry 0
    When the posting is sent to entry 0 and its caller goes away
    And the posting is sent to entry <other>
    Then the answer is the server's own
    And the posting ran 1 time

    Examples:
      | kind               | other |
      | an issued key      | 0     |
      | an issued key      | 1     |
      | a caller's own key | 0     |
      | a caller's own key | 1     |

  Scenario Outline: <kind> comes to both entries at the same time
    Given <kind> of entry 0
    When the posting is sent 3 times to each entry at the same time
    Then every answer is the server's own
    And the posting ran 1 time

    Examples:
      | kind               |
      | an issued key      |
      | a caller's own key |

  Scenario Outline: the answer is lost and <kind> is repeated
    Given <kind> of entry 0
    And the next answer is lost with its connection
    When the posting is sent to entry 0
    Then the outcome is "unknown" with code "connection-lost"
    When the posting is sent to entry 0
    Then the outcome is "unknown" with code "key-unknown"
    When the posting is sent to entry 1
    Then the outcome is "unknown" with code "key-unknown"
    And the posting ran 1 time

    Examples:
      | kind               |
      | an issued key      |
      | a caller's own key |

  Scenario Outline: <kind> that was not run may be run
    Given <kind> of entry 0
    And every scripted server sheds
    When the posting is sent to entry 0
    Then the outcome is "not-run" with code "server-shed"
    When the scripted servers take work again
    And the posting is sent to entry 1
    Then the answer is the server's own
    And the posting ran 1 time

    Examples:
      | kind               |
      | an issued key      |
      | a caller's own key |

  Scenario: the issuer is gone
    Given a key of an entry that is gone
    When the posting is sent to entry 0
    Then the outcome is "unknown" with code "key-entry-unreachable"
    And the posting ran 0 times

  Scenario: another process listens at the issuer's address
    Given a key of an earlier process at entry 1
    When the posting is sent to entry 0
    Then the outcome is "unknown" with code "key-elsewhere"
    And the posting ran 0 times

  Scenario: a key that was made up
    Given the key "zk1.AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
    When the posting is sent to entry 0
    Then the outcome is "unknown" with code "key-unreadable"
    And the posting ran 0 times

  Scenario: a key older than its window
    Given an issued key of entry 0
    When 11 minutes pass at entry 0
    And the posting is sent to entry 0
    Then the outcome is "unknown" with code "key-expired"
    And the posting ran 0 times

  Scenario: an answer too large to keep
    Given an issued key of entry 0
    And every server answers with 100000 bytes
    When the posting is sent to entry 0
    Then the answer has 100000 bytes
    When the posting is sent to entry 1
    Then the outcome is "run" with code "already-run"
    And the posting ran 1 time

  Scenario: a key comes back with another body
    Given an issued key of entry 0
    When the posting is sent to entry 0
    And the posting is sent to entry 0 with another body
    Then the outcome is "not-run" with code "key-reused"
    And the posting ran 1 time

  Scenario: the store is out
    Given a caller's own key of entry 0
    And the entry store is out
    When the posting is sent to entry 0
    Then the outcome is "unknown" with code "claim-unavailable"
    And the posting ran 0 times
    When the entry store is back
    And the posting is sent to entry 1
    Then the answer is the server's own
    When the posting is sent to entry 0
    Then the answer is the server's own
    And the posting ran 1 time

  Scenario: the entry store loses the replies to its writes
    Given a caller's own key of entry 0
    When the posting is sent to entry 0
    Given a caller's own key of entry 0
    And the entry store loses the replies to its writes
    When the posting is sent to entry 0 until it has an answer of a server
    And the posting is sent to entry 1
    Then the answer is the server's own
    And the posting ran 2 times

  Scenario: issued keys need no store
    Given the entry store is out
    And an issued key of entry 0
    When the posting is sent to entry 1
    Then the answer is the server's own
    And the posting ran 1 time

  Scenario: the table of keys is full
    Given entry 0 keeps 1 key at most
    And an issued key of entry 0
    When the posting is sent to entry 0
    Then the answer is the server's own
    Given an issued key of entry 0
    When the posting is sent to entry 0
    Then the outcome is "not-run" with code "keys-full"
    And the posting ran 1 time

  Scenario: a refusal before the key is looked up does not say "not run"
    Given a caller's own key of entry 0
    When a request for "/nowhere" is sent to entry 0
    Then the outcome is "unknown" with code "no-route"

  Scenario: a table of keys under any course of events
    Then no course of events lets a key begin twice within its window

  Scenario: the caller library goes on until it knows
    Given the next 3 answers are lost with their connections
    When the caller library sends 20 postings
    Then every posting ran at most once and its end is known
