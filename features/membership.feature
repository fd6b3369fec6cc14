Feature: Membership of the entries
  Entries start, stop, pause and lose their connections to each other.

  Scenario: A network partition splits the entries and heals
    Given 4 entries with tables at revision 1
    When the entries are split so that "entry-2, entry-3" can reach neither the others nor the store
    And a change is accepted
    Then "entry-0, entry-1" have revision 2 in force
    And "entry-2, entry-3" still have revision 1 in force
    When the partition heals while the store is unreachable for "entry-2, entry-3"
    Then all entries have revision 2 in force

  Scenario: Every entry is replaced, one after the other
    Given 4 entries with tables at revision 1
    When a change is accepted
    And every entry is replaced by a new one during a store outage
    Then all entries have revision 2 in force

  Scenario: All entries are restarted at once during a store outage
    Given 3 entry processes with tables
    When all are killed and restarted during a store outage
    Then none is ready and each reports that the store does not answer
    When the store process is available again
    Then all entry processes are ready

  Scenario: A reporter is paused until its lease expires and then resumes
    Given 6 entry processes with tables
    When the reporter of a data centre is paused until its lease expires
    Then another entry becomes the reporter with a greater fencing token
    When the paused process resumes
    Then it does not hold the lease and the directory is still the successor's

  Scenario: An entry whose wall clock was set back is still seen as live
    Given 2 entries with tables at revision 1
    When "entry-1" is restarted with a much earlier incarnation
    Then "entry-0" sees "entry-1" as live again

  Scenario Outline: State of a member derived from the evidence
    Then with a heartbeat <age> s old, leased <leased>, VM list <listed> and heartbeats from <senders> it is <state>

    Examples:
      | age | leased  | listed  | senders | state   |
      | 1   | no      | absent  | others  | live    |
      | 1   | yes     | leaving | others  | leaving |
      | 8   | yes     | live    | others  | suspect |
      | 20  | yes     | live    | others  | dead    |
      | 20  | yes     | absent  | nobody  | live    |
      | 20  | unknown | absent  | nobody  | suspect |
