Feature: A tenant that sends more than it may has its permits used for requests in time

  Guards against permits that are spent on requests whose objective has passed,
  while others of the same tenant that could be in time are refused.

  Scenario Outline: Callers that return late take no permits from new requests
    Given a tenant with 20 permits a second that sends <factor> times as much for 20 s
    And each refused request returns 2 times, 0.5 s later each time, with an objective of 0.6 s
    When permits are given out as the gateway does
    Then at least 0.95 of the permits are used for requests in time
    And as many requests are served as with permits for whoever comes first, to within 0.02

    Examples:
      | factor |
      | 1.5    |
      | 4      |
      | 7.5    |

  Scenario: A tenant within its allowance has late requests served, too
    Given a tenant with 20 permits a second that sends 0.5 times as much for 20 s
    And each refused request returns 2 times, 0.5 s later each time, with an objective of 0 s
    When permits are given out as the gateway does
    Then every request is served
