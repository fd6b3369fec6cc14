Feature: at-most-once execution of requests with an idempotency key
  A non-idempotent request with a key runs at most once, however often the
  caller repeats it, and the outcome that the caller gets is correct.

  Background:
    Given 2 entries that share a key secret, in front of 2 scripted servers

  Scenario Outline: a repeated request with <kind> gets the stored answer
    Given <kind> of entry 0
    When the posting is sent to entry 0 and its caller disconnects
    And the posting is sent to entry <other>
    Then the answer is the server's own
    And the posting ran 1 time

    Examples:
      | kind               | other |
      | an issued key      | 0     |
      | an issued key      | 1     |
      | a caller's own key | 0     |
      | a caller's own key | 1     |

  Scenario Outline: both entries get requests with <kind> at the same time
    Given <kind> of entry 0
    When the posting is sent 3 times to each entry at the same time
    Then every answer is the server's own
    And the posting ran 1 time

    Examples:
      | kind               |
      | an issued key      |
      | a caller's own key |

  Scenario Outline: a request with <kind> is repeated after a lost answer
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

  Scenario Outline: a request with <kind> that was not run can be repeated
    Given <kind> of entry 0
    And every scripted server sheds requests
    When the posting is sent to entry 0
    Then the outcome is "not-run" with code "server-shed"
    When the scripted servers accept requests again
    And the posting is sent to entry 1
    Then the answer is the server's own
    And the posting ran 1 time

    Examples:
      | kind               |
      | an issued key      |
      | a caller's own key |

  Scenario: the process that issued the key no longer runs
    Given a key issued by an entry that no longer runs
    When the posting is sent to entry 0
    Then the outcome is "unknown" with code "key-entry-unreachable"
    And the posting ran 0 times

  Scenario: another process listens at the issuer's address
    Given a key issued by an earlier process at entry 1
    When the posting is sent to entry 0
    Then the outcome is "unknown" with code "key-elsewhere"
    And the posting ran 0 times

  Scenario: a forged key
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

  Scenario: an answer too large to store
    Given an issued key of entry 0
    And every server answers with 100000 bytes
    When the posting is sent to entry 0
    Then the answer has 100000 bytes
    When the posting is sent to entry 1
    Then the outcome is "run" with code "already-run"
    And the posting ran 1 time

  Scenario: a key is reused with another body
    Given an issued key of entry 0
    When the posting is sent to entry 0
    And the posting is sent to entry 0 with another body
    Then the outcome is "not-run" with code "key-reused"
    And the posting ran 1 time

  Scenario: the store is unavailable
    Given a caller's own key of entry 0
    And the entry store is unavailable
    When the posting is sent to entry 0
    Then the outcome is "unknown" with code "claim-unavailable"
    And the posting ran 0 times
    When the entry store is available again
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
    When the posting is sent to entry 0 until a server answers it
    And the posting is sent to entry 1
    Then the answer is the server's own
    And the posting ran 2 times

  Scenario: issued keys need no store
    Given the entry store is unavailable
    And an issued key of entry 0
    When the posting is sent to entry 1
    Then the answer is the server's own
    And the posting ran 1 time

  Scenario: the key table is full
    Given entry 0 stores at most 1 key
    And an issued key of entry 0
    When the posting is sent to entry 0
    Then the answer is the server's own
    Given an issued key of entry 0
    When the posting is sent to entry 0
    Then the outcome is "not-run" with code "keys-full"
    And the posting ran 1 time

  Scenario: a rejection before the key is looked up does not say "not run"
    Given a caller's own key of entry 0
    When a request for "/nowhere" is sent to entry 0
    Then the outcome is "unknown" with code "no-route"

  Scenario: the key table under generated sequences of events
    Then no sequence of events starts a key twice within its window

  Scenario: the caller library repeats postings whose answers are lost
    Given the next 3 answers are lost with their connections
    When the caller library sends 20 postings
    Then every posting ran at most once and only the lost answers are unknown
