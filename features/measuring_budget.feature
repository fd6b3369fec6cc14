Feature: the measuring budget
  Measuring requests to a server stay within the pool's agreed budget, counted
  at the server in any window of one second, over all entries together.

  Scenario: at most as many entries measure as the budget allows
    Given 13 entries that request permits of a budget of 3
    When 60 seconds pass
    Then 3 entries may measure

  Scenario: with a budget of zero no entry measures
    Given 13 entries that request permits of a budget of 0
    When 60 seconds pass
    Then 0 entries may measure

  Scenario: a holder that was paused beyond its lease does not measure
    Given 2 entries that request permits of a budget of 1
    When 20 seconds pass
    And the entry that may measure is paused for 20 seconds
    Then the paused entry may not measure
    And 1 entries may measure

  Scenario: a new holder waits until the previous one has stopped
    Given 2 entries that request permits of a budget of 1
    When 20 seconds pass
    And the store loses its state
    Then at no time in 30 seconds do 2 entries measure

  Scenario: the permits expire while the store is out
    Given 2 entries that request permits of a budget of 1
    When 20 seconds pass
    And the store is out for 10 seconds
    Then 0 entries may measure

  Scenario: permits are released when the budget is lowered
    Given 5 entries that request permits of a budget of 4
    When 60 seconds pass
    And the budget is 2
    And 60 seconds pass
    Then 2 entries may measure

  Scenario: the budget holds in any order of pauses, outages and losses
    Then the budget holds over any 40 steps of pauses, outages and losses

  Scenario: the servers count no more measuring requests than the budget
    Given 4 entry processes for 3 servers with a budget of 2
    When every server was measured 2 times more
    And entry process 0 is paused beyond its lease and resumed
    And entry process 1 is killed and restarted
    And the store is out for longer than a lease
    And entry process 2 is asked to stop
    And every server was measured 2 times more
    Then no server was measured more than 2 times in any second
