Feature: the metrics match their documentation
  Scenario: the documentation lists every metric and no other
    Then docs/METRICS.md lists exactly the entry's metrics

  Scenario: the alert rules use existing metrics and match the documentation
    Then every alert rule uses only existing metrics and labels
    And every alert in docs/METRICS.md is a rule and every rule is documented

  Scenario: the entries count the requests of a fleet
    Given the demo's fleet
    When a caller reads 20 cards and posts 5 times
    Then the entries together count 20 answered requests of pool "card"
    And the entries together show 20 in the latency histogram of pool "card"
    And each entry shows 4 available servers of pool "card"
