Feature: stopping and leaving
  A planned stop cuts off no request, and nothing new goes to a server that is
  leaving.

  Scenario: requests in flight are served to their end
    Given 2 entries that stop gracefully
    And a long extract, an upload and a half-sent head at entry 0
    When entry 0 is told to stop
    And the extract, the upload and the head go on
    Then all three are answered whole
    And entry 0 has stopped

  Scenario: an idle connection is closed and a used one is told to close
    Given 2 entries that stop gracefully
    And a long extract at entry 0 and an idle connection besides
    When entry 0 is told to stop
    Then the idle connection ends
    And the extract is answered whole
    And entry 0 has stopped

  Scenario: an old address answer is good for its lifetime
    Given 2 entries that stop gracefully
    When entry 0 is told to stop
    Then a caller with an old address answer is served by entry 0
    And entry 0 issues no more keys
    And entry 0 names other entries only

  Scenario: an answer that is held up by its reader is not cut
    Given 2 entries that stop gracefully
    And a caller of entry 0 that does not read its large answer yet
    When entry 0 is told to stop
    And the caller reads on
    Then it reads the large answer whole
    And entry 0 has stopped

  Scenario Outline: an entry's process is told to stop by <signals>
    Given a process of an entry with a request in flight
    When the process gets <signals>
    Then the request <ending> and the process ends with status <status>

    Examples:
      | signals          | ending   | status |
      | SIGTERM          | is whole | 0      |
      | SIGTERM, SIGTERM | is whole | 0      |
      | SIGTERM, SIGQUIT | is cut   | 6      |

  Scenario Outline: a backend server's leaving becomes known from <source>
    Given 2 entries that stop gracefully
    When <source> says at entry 0 that ledger-0 is leaving
    Then ledger-0 gets no new work from entry <entry>

    Examples:
      | source          | entry |
      | the VM list     | 0     |
      | the VM list     | 1     |
      | the table       | 0     |
      | the table       | 1     |
      | a reply header  | 0     |
      | a reply header  | 1     |
      | a refusal       | 0     |

  Scenario: addresses are spread and steer away
    Then 40 entries in 3 data centres are named in turn, 16 at a time
    And an overloaded entry is not named while others are calm
    And every entry is named when most are overloaded

  Scenario: an entry that does not hear from others still names itself
    Given 1 entry that stops gracefully
    When the store is taken out
    Then entry 0 names itself
