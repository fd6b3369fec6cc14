Feature: Audit trail and status of the entries
  Operators see who changed what, can undo it, and see where it is in force.

  Scenario: The audit trail shows the author, the revisions and the change
    Given 2 entries with tables at revision 1
    When a change is accepted
    And the operator's command "audit list --json" is run
    Then it printed a change from revision 1 to 2 by "test" that adds the route "second"
    When the operator's command "audit show 2" is run
    Then it exited with 0 and printed "second"
    When the operator's command "audit diff 1 2" is run
    Then it exited with 0 and printed "second"
    When the operator's command "audit show 9" is run
    Then it exited with 3 and its error output has "revision-not-found"

  Scenario: A rollback creates a new revision
    Given 2 entries with tables at revision 1
    When a change is accepted
    And the operator's command "audit rollback 1 --reason mistake --json" is run
    Then it exited with 0 and printed "3"
    And all entries have revision 3 in force
    And the entries have the routes "cards"
    When the operator's command "audit show 3 --json" is run
    Then it exited with 0 and printed "rollback"

  Scenario: The status lists every entry
    Given 2 entries with tables at revision 1
    When the operator's command "status --json" is run
    Then the status lists "entry-0, entry-1" as ready at revision 1
    When a store outage starts
    And the operator's command "status" is run with the address of the first entry
    Then it exited with 0 and printed "entry-1"

  Scenario: An operator restores the tables with a command
    Given 3 entries with tables at revision 1
    When a copy of the store is taken
    And a change is accepted
    And the content of the store is reset to the copy and changed twice while unreachable for entries
    And the store is fenced
    And the operator's command "audit restore --json" is run with the address of the first entry
    Then it exited with 0 and printed "accepted"
    And all entries have the routes of all accepted changes in force

  Scenario: An operator settles a change whose outcome is unknown
    Given 2 entries with tables at revision 1
    When a store outage starts during the commit of the change "change-7"
    And the operator's command "audit settle change-7" is run
    Then it exited with 0 and printed "accepted as revision 2"
    When the operator's command "audit settle change-8 --json" is run
    Then it exited with 0 and printed "not-accepted"
