Feature: the demo
  The newcomer's first command shows the whole path and says truthfully what
  became of every request.

  Scenario: the demo for programs
    When "demo --seconds 2 --seed 7 --json" is run
    Then it ends with status 0
    And its last line is JSON with exactly the keys "requests, answered, not_run, unknown, lost, doubled, p50_ms, p99_ms, p999_ms, revisions"
    And every request was answered, and revision 2 is in force on 3 entries

  Scenario: the demo for people
    When "demo --seconds 2" is run
    Then it ends with status 0
    And its output has "refused, not run"
    And its output has "revision on entry-2"
    And its error has "ledger-1 drains"
    And its error has "servers[card-0].leaving: false -> true"
    And its error has "accepted as revision 2"

  Scenario Outline: a lost or doubled request is no success
    Given a summary with <lost> lost and <doubled> doubled requests
    Then the demo's status is <status>

    Examples:
      | lost | doubled | status |
      | 0    | 0       | 0      |
      | 1    | 0       | 1      |
      | 0    | 1       | 1      |
