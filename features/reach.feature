Feature: A VM tells silence of servers from single servers that don't respond

  Scenario Outline: A pool is silent once enough of its servers have not responded
    Given a pool of <size> servers of which <tried> were tried at 10.0 s
    And <failed> of them refused the connection
    Then the pool is <early> at 10.1 s and <late> at 10.2 s

    Examples:
      | size | tried | failed | early      | late       |
      | 6    | 4     | 0      | not silent | silent     |
      | 6    | 3     | 0      | not silent | not silent |
      | 6    | 3     | 3      | not silent | not silent |
      | 6    | 4     | 4      | silent     | silent     |
      | 6    | 4     | 3      | not silent | silent     |
      | 3    | 3     | 3      | silent     | silent     |
      | 2    | 1     | 1      | not silent | not silent |
      | 13   | 6     | 0      | not silent | silent     |
      | 13   | 5     | 5      | not silent | not silent |
      | 174  | 6     | 6      | silent     | silent     |
      | 1    | 1     | 0      | not silent | silent     |
      | 0    | 1     | 1      | not silent | not silent |

  Scenario: A failure that began before the last response does not count
    Given a pool of 6 servers of which 4 were tried at 10.0 s
    When a server responds at 10.05 s
    And the connections that were tried at 10.0 s fail
    Then the pool is not silent at 10.1 s and not silent at 10.4 s

  Scenario Outline: A gateway logs a pool that has fallen silent, and that it responds again
    Given a fleet of 1 gateways before 4 servers
    When each gateway gets 10 reads a second for 0.5 s
    And all links of gateway 1 to the servers are cut, shape "<shape>"
    And each gateway gets 10 reads a second for 1 s
    Then gateway 1 has logged that "pool" is silent, tried 4
    When the links of gateway 1 are back
    And each gateway gets 10 reads a second for 1 s
    Then gateway 1 has logged that "pool" responds again

    Examples:
      | shape |
      | hang  |
      | reset |

  Scenario: A gateway whose open connections live on logs no silent pool
    Given a fleet of 1 gateways before 4 servers
    When each gateway gets 10 reads a second for 1 s
    And all links of gateway 1 to the servers are cut, shape "refuse-new"
    And each gateway gets 10 reads a second for 1 s
    Then gateway 1 has logged no silent pool
