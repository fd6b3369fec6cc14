Feature: limits on callers
  A caller that opens too many connections, stalls or trickles loses only its
  own connections.

  Scenario: connections beyond a caller's limit are rejected and closed
    Given an entry that allows 3 connections per caller
    When a caller opens 4 connections
    Then the last is rejected with 503 and code "too-many-connections" and closed
    And the first still gets an answer
    And once one is closed a new one gets an answer

  Scenario: a head that is not complete in time
    Given an entry that waits 0.2 s for a head
    When a caller sends half a head
    Then its connection is closed and "slow-head" is counted

  Scenario: a body without progress
    Given an entry that waits 0.2 s for progress of a body
    When a caller sends half a body
    Then its connection is closed and "slow-body" is counted

  Scenario: a caller that does not read the response
    Given an entry that waits 0.2 s for progress of a reader
    When a caller asks for a large answer and does not read
    Then its connection is closed and "slow-reader" is counted

  Scenario: a caller that is idle between requests keeps its connection
    Given an entry that waits 0.2 s for a head
    When a caller gets an answer and is idle for 3 sweeps
    Then its connection still gets an answer

  Scenario: the limit on open files reduces the number of connections
    Then a limit of 1024 open files allows 384 of 10000 connections
    And a limit of 65536 open files allows 10000 of 10000 connections
