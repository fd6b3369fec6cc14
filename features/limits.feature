Feature: limits on callers
  A caller that floods, stalls or trickles loses its own connection and no
  one else's.

  Scenario: connections beyond a caller's share are told so and closed
    Given an entry that allows 3 connections per caller
    When a caller opens 4 connections
    Then the last is told 503 with code "too-many-connections" and closed
    And the first still gets an answer
    And once one is closed a new one gets an answer

  Scenario: a head that is not whole in time
    Given an entry that waits 0.2 s for a head
    When a caller sends half a head
    Then its connection is closed and "slow-head" is counted

  Scenario: a body that stands still
    Given an entry that waits 0.2 s for progress of a body
    When a caller sends half a body
    Then its connection is closed and "slow-body" is counted

  Scenario: a caller that does not read
    Given an entry that waits 0.2 s for progress of a reader
    When a caller asks for a large answer and does not read
    Then its connection is closed and "slow-reader" is counted

  Scenario: a caller that is idle between requests is left alone
    Given an entry that waits 0.2 s for a head
    When a caller gets an answer and is idle for 3 sweeps
    Then its connection still gets an answer

  Scenario: few descriptors allow fewer connections
    Then a limit of 1024 open files allows 384 of 10000 connections
    And a limit of 65536 open files allows 10000 of 10000 connections
