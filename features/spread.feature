Feature: the spread of revisions between entries
  An accepted revision reaches every entry that any other entry can reach, and
  no entry ever goes back.

  Scenario: an entry that is cut off from the store gets the revision from peers
    Given 4 entries with tables at revision 1
    When the store is cut off from "entry-0"
    And a change is accepted
    Then all entries have revision 2 in force

  Scenario: the store goes out for everyone after one entry saw the commit
    Given 4 entries with tables at revision 1
    When the store is cut off from all entries but "entry-3"
    And a change is accepted
    And the store goes out
    Then all entries have revision 2 in force

  Scenario: the store goes out before any entry saw the commit
    Given 3 entries with tables at revision 1
    When the store is cut off from all entries but "nobody"
    And a change is accepted and handed over by the operator's command
    Then all entries have revision 2 in force

  Scenario: a fresh entry takes its tables from peers while the store is out
    Given 3 entries with tables at revision 1
    When the store goes out
    And the fresh entry "entry-9" starts with the others as seeds
    Then "entry-9" is ready at revision 1

  Scenario: a fresh entry without any source is not ready and says why
    Given a store that is out
    When the fresh entry "entry-9" starts without seeds
    Then "entry-9" is not ready and the reason names the store and the peers

  Scenario Outline: a store that has lost revisions is not obeyed
    Given 3 entries with tables at revision 1
    When a copy of the store is taken
    And a change is accepted
    And the store is set back to <state>
    Then the store is fenced and an event 204 was logged
    And a further change is refused as "<code>"
    And all entries have revision 2 in force
    And the fresh entry "entry-9" comes to revision 2

    Examples:
      | state       | code        |
      | the copy    | store-reset |
      | nothing     | store-reset |

  Scenario: another history of the tables is not obeyed
    Given 3 entries with tables at revision 1
    When a copy of the store is taken
    And a change is accepted
    And the store is set back to the copy, changed twice while entries are cut off
    Then the store is fenced and an event 204 was logged
    And all entries have revision 2 in force

  Scenario: a restore puts back what the entries hold and what the store got since
    Given 3 entries with tables at revision 1
    When a copy of the store is taken
    And a change is accepted
    And the store is set back to the copy, changed twice while entries are cut off
    And the store is fenced
    And an operator restores the tables from the entries
    Then all entries have the routes of all accepted changes in force

  Scenario: an entry that is leaving is named to nobody
    Given 3 entries with tables at revision 1
    When "entry-1" is told to stop
    Then the other entries take "entry-1" for leaving
    And the reporter's directory still names the others

  Scenario: the platform takes a VM out
    Given 3 entries with tables at revision 1 and a VM list
    When the VM list says that "entry-2" is leaving
    Then the other entries take "entry-2" for leaving

  Scenario: entries refuse to talk in plain text outside loopback
    Then an entry with the address "192.0.2.1" for peers is refused as "peers-insecure"
