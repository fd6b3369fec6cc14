Feature: graceful shutdown, and servers that are leaving
  A graceful shutdown aborts no request, and a server that is leaving gets no
  new requests.

  Scenario: requests in flight are completed
    Given 2 entries that stop gracefully
    And a long download, an upload and a partly sent head at entry 0
    When entry 0 is told to stop
    And the download, the upload and the head continue
    Then all three get complete answers
    And entry 0 has stopped

  Scenario: an idle connection is closed and one in use is not cut
    Given 2 entries that stop gracefully
    And a long download and an idle connection at entry 0
    When entry 0 is told to stop
    Then the idle connection is closed
    And the download is complete
    And entry 0 has stopped

  Scenario: a request that arrives just before its idle connection is closed is answered
    Given 2 entries that stop gracefully
    And a long download and an idle connection at entry 0
    When the idle caller sends a request and entry 0 closes idle connections at once
    Then that caller gets 200

  Scenario: a caller that connects just before listening ends is answered
    Given 2 entries that stop gracefully
    When entry 0 stops and a caller connects and sends as it ends listening
    Then that caller gets 200
    And entry 0 has stopped

  Scenario: an address answer stays valid for its lifetime
    Given 2 entries that stop gracefully, with addresses valid for 60 s
    When entry 0 is told to stop
    Then entry 0 still serves a caller that has its address
    And entry 0 issues no more keys
    And entry 0 lists only other entries

  Scenario: an answer to a slow reader is not cut
    Given 2 entries that stop gracefully
    And a caller of entry 0 that does not read its large answer yet
    When entry 0 is told to stop
    And the caller resumes reading
    Then it receives the complete large answer
    And entry 0 has stopped

  Scenario Outline: an entry process gets <signals>
    Given an entry process with a request in flight
    When the process gets <signals>
    Then the request <ending> and the process ends with status <status>

    Examples:
      | signals          | ending   | status |
      | SIGTERM          | is whole | 0      |
      | SIGTERM, SIGTERM | is whole | 0      |
      | SIGTERM, SIGQUIT | is cut   | 6      |

  Scenario Outline: <source> reports that a backend server is leaving
    Given 2 entries that stop gracefully
    When <source> reports at entry 0 that ledger-0 is leaving
    Then ledger-0 gets no new requests from entry <entry>

    Examples:
      | source               | entry |
      | the VM list          | 0     |
      | the VM list          | 1     |
      | the table            | 0     |
      | the table            | 1     |
      | a reply header       | 0     |
      | a reply header       | 1     |
      | a refused connection | 0     |

  Scenario: the listed addresses are balanced and exclude overloaded entries
    Then 16 of 40 entries in 3 data centres are listed, balanced over them
    And an overloaded entry is not listed while others are not overloaded
    And every entry is listed when most are overloaded

  Scenario: an entry without peers and without a store lists itself
    Given 1 entry that stops gracefully
    When the store becomes unavailable
    Then entry 0 lists itself
