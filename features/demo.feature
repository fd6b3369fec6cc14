Feature: the demo
  The demo runs callers, entries and backend servers in one process and reports
  the outcome of every request.

  Scenario: the demo prints JSON
    When "demo --seconds 2 --seed 7 --json" is run
    Then it ends with status 0
    And its last line is JSON with exactly the keys "requests, answered, not_run, unknown, lost, doubled, p50_ms, p99_ms, p999_ms, revisions"
    And every request was answered, and 3 entries have revision 2 in force

  Scenario: the demo prints text
    When "demo --seconds 2" is run
    Then it ends with status 0
    And its output has "refused, not run"
    And its output has "revision on entry-2"
    And its error has "ledger-1 drains"
    And its error has "servers[card-0].leaving: false -> true"
    And its error has "accepted as revision 2"

  Scenario Outline: a lost or doubled request makes the demo fail
    Given a summary with <lost> lost and <doubled> doubled requests
    Then the demo's status is <status>

    Examples:
      | lost | doubled | status |
      | 0    | 0       | 0      |
      | 1    | 0       | 1      |
      | 0    | 1       | 1      |
