Feature: the measuring budget
  Measuring requests to a server stay within the pool's agreed budget, counted
  at the server in any window of one second, over all entries together.

  Scenario: no more entries measure than the budget allows
    Given 13 entries that want seats of a budget of 3
    When 60 seconds pass
    Then 3 entries may measure

  Scenario: a budget of zero is never spent
    Given 13 entries that want seats of a budget of 0
    When 60 seconds pass
    Then 0 entries may measure

  Scenario: a holder that was paused past its lease does not measure
    Given 2 entries that want seats of a budget of 1
    When 20 seconds pass
    And the entry that may measure is paused for 20 seconds
    Then the paused entry may not measure
    And 1 entries may measure

  Scenario: a new holder waits until the one before it has stopped
    Given 2 entries that want seats of a budget of 1
    When 20 seconds pass
    And the store loses everything
    Then in no instant of 30 seconds do 2 entries measure

  Scenario: while the store is out the seats lapse
    Given 2 entries that want seats of a budget of 1
    When 20 seconds pass
    And the store is out for 10 seconds
    Then 0 entries may measure

  Scenario: a lower budget takes seats back
    Given 5 entries that want seats of a budget of 4
    When 60 seconds pass
    And the budget is 2
    And 60 seconds pass
    Then 2 entries may measure

  Scenario: any order of pauses, outages and losses keeps to the budget
    Then any 40 steps of pauses, outages and losses keep to the budget

  Scenario: counted at the servers, with real entries
    Given 4 entry processes before 3 servers with a budget of 2
    When every server was measured 2 times more
    And entry process 0 is paused past its lease and wakes
    And entry process 1 is killed and started anew
    And the store is out for longer than a lease
    And entry process 2 is asked to stop
    And every server was measured 2 times more
    Then no server was measured more than 2 times in any second
