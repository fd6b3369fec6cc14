Feature: the metrics and their pages agree
  Scenario: every metric has its row and every row its metric
    Then docs/METRICS.md lists exactly the entry's metrics

  Scenario: the alert rules use existing metrics and cover the promises
    Then every alert rule uses only existing metrics and labels
    And every alert that docs/METRICS.md names is a rule and every rule has its page

  Scenario: what a fleet did is counted
    Given the demo's fleet
    When a caller reads 20 cards and posts 5 times
    Then the entries together count 20 answered requests of pool "card"
    And the entries together show 20 in the latency histogram of pool "card"
    And each entry shows 4 available servers of pool "card"
