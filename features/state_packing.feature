Feature: The fleet state is packed once for all who ask for it

  Guards against clients that keep a process busy by requests for its state, and
  against a packed state that differs from one that is built for the requester.

  Background:
    Given a VM that holds tables, 400 servers and an evacuated data centre

  Scenario Outline: A requester that holds <held> gets what it lacks
    When a VM that holds <held> asks for the state twice, with 3 s between
    Then it gets what was built for it alone, with the ages of the second time

    Examples:
      | held                 |
      | nothing              |
      | all                  |
      | the tables           |
      | the servers before   |
      | unknown servers      |

  Scenario: Requests of unknown clients pack the state once until it changes
    When 1000 unknown clients ask for the state, each with other figures
    Then the state was packed 1 times
    When a server joins
    And 1000 unknown clients ask for the state, each with other figures
    Then the state was packed 2 times

  Scenario: Unknown clients leave the parts packed that other VMs lack
    When a VM that holds the servers before asks for the state
    And 1000 unknown clients ask for the state, each with other figures
    And a VM that holds the servers before asks for the state
    Then the state was packed 2 times
