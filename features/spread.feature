Feature: Dissemination of revisions between entries
  An accepted revision reaches every entry that any other entry can reach, and
  no entry ever goes back to an older revision.

  Scenario: An entry that cannot reach the store gets the revision from peers
    Given 4 entries with tables at revision 1
    When the store is unreachable for "entry-0"
    And a change is accepted
    Then all entries have revision 2 in force

  Scenario: The store becomes unavailable after only one entry read the commit
    Given 4 entries with tables at revision 1
    When the store is unreachable for all entries but "entry-3"
    And a change is accepted
    And a store outage starts
    Then all entries have revision 2 in force

  Scenario: The store becomes unavailable before any entry read the commit
    Given 3 entries with tables at revision 1
    When the store is unreachable for all entries but "nobody"
    And a change is accepted and sent to entries by the operator's command
    Then all entries have revision 2 in force

  Scenario: A new entry gets its tables from peers during a store outage
    Given 3 entries with tables at revision 1
    When a store outage starts
    And the new entry "entry-9" starts with the others as seeds
    Then "entry-9" is ready at revision 1

  Scenario: A new entry without store and peers is not ready and reports the reason
    Given a store that is unavailable
    When the new entry "entry-9" starts without seeds
    Then "entry-9" is not ready and the reason mentions the store and the peers

  Scenario Outline: Entries ignore a store that has lost revisions
    Given 3 entries with tables at revision 1
    When a copy of the store is taken
    And a change is accepted
    And the content of the store is reset to <state>
    Then the store is fenced and an event 204 was logged
    And a further change is rejected with code "<code>"
    And all entries have revision 2 in force
    And the new entry "entry-9" gets revision 2

    Examples:
      | state    | code        |
      | the copy | store-reset |
      | nothing  | store-reset |

  Scenario: Entries ignore a store with a different history of the tables
    Given 3 entries with tables at revision 1
    When a copy of the store is taken
    And a change is accepted
    And the content of the store is reset to the copy and changed twice while unreachable for entries
    Then the store is fenced and an event 204 was logged
    And all entries have revision 2 in force

  Scenario: A restore keeps the entries' revisions and the later changes in the store
    Given 3 entries with tables at revision 1
    When a copy of the store is taken
    And a change is accepted
    And the content of the store is reset to the copy and changed twice while unreachable for entries
    And the store is fenced
    And an operator restores the tables from the entries
    Then all entries have the routes of all accepted changes in force

  Scenario: A leaving entry is not returned to callers
    Given 3 entries with tables at revision 1
    When "entry-1" is told to stop
    Then the other entries see "entry-1" as leaving
    And the reporter's directory still lists the others

  Scenario: The platform marks a VM as leaving
    Given 3 entries with tables at revision 1 and a VM list
    When the VM list marks "entry-2" as leaving
    Then the other entries see "entry-2" as leaving

  Scenario: Entries do not listen for peers in plain text on other than loopback
    Then an entry with the address "192.0.2.1" for peers is rejected with code "peers-insecure"
