Feature: members that come, go, pause and lose each other

  Scenario: the entries are split in two halves and joined again
    Given 4 entries with tables at revision 1
    When the entries are split so that "entry-2, entry-3" reach neither the others nor the store
    And a change is accepted
    Then "entry-0, entry-1" have revision 2 in force
    And "entry-2, entry-3" still have revision 1 in force
    When the halves are joined while the store is cut off from "entry-2, entry-3"
    Then all entries have revision 2 in force

  Scenario: every entry is replaced, one after the other
    Given 4 entries with tables at revision 1
    When a change is accepted
    And every entry is replaced by a fresh one while the store is out
    Then all entries have revision 2 in force

  Scenario: all entries are restarted at once with the store down
    Given 3 entry processes with tables
    When all are killed and started again with the store out
    Then none is ready and each says that the store does not answer
    When the store process answers again
    Then all entry processes are ready

  Scenario: a reporter is paused past its lease and goes on
    Given 6 entry processes with tables
    When the reporter of a data centre is paused past its lease
    Then another entry reports with a greater fencing number
    When the paused process goes on
    Then it does not hold the lease and the directory stays the successor's

  Scenario: a wall clock that was set back hides no entry
    Given 2 entries with tables at revision 1
    When "entry-1" is started again with an incarnation from long ago
    Then "entry-0" takes "entry-1" for live again

  Scenario Outline: what the witnesses say of a member
    Then a heartbeat of <age> s, lease <leased>, list <listed>, <hearing> makes it <state>

    Examples:
      | age | leased  | listed  | hearing       | state   |
      | 1   | no      | absent  | hearing some  | live    |
      | 1   | yes     | leaving | hearing some  | leaving |
      | 8   | yes     | live    | hearing some  | suspect |
      | 20  | yes     | live    | hearing some  | dead    |
      | 20  | yes     | absent  | hearing none  | live    |
      | 20  | unknown | absent  | hearing none  | suspect |
