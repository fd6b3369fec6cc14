Feature: How soon a silent cut is noticed on each kind of connection

  Scenario Outline: Connections that a VM opens give up on unacknowledged bytes after 3 s
    Given a fleet of 2 gateways before 4 servers
    And each gateway has served reads and posts
    When gateways 1 are cut off from all servers, shape "hang"
    And 1 s pass in which each gateway gets 5 reads and 2 posts a second
    Then the connections of gateway 1 to <whom> have a user timeout of 3000 ms and no keep-alive probes

    Examples:
      | whom      |
      | the store |
      | other VMs |

  Scenario: So do connections to servers
    Given a fleet of 1 gateways before 4 servers
    And each gateway has served reads and posts
    Then the connections of gateway 1 to servers have a user timeout of 3000 ms and no keep-alive probes

  Scenario: Connections that a VM accepts have neither, and end by the process's own limits
    Given a fleet of 1 gateways before 4 servers
    And a caller that is connected to gateway 1
    Then the connections of gateway 1 from callers have a user timeout of 0 ms and no keep-alive probes
