Feature: Callers are served at VMs that have lost their links to the backend servers

  Scenario Outline: VMs that were cut off from all servers do not turn their callers away while others serve
    Given a fleet of 5 gateways before 4 servers
    And each gateway has served reads and posts
    When gateways <cut> are cut off from all servers, shape "<shape>"
    And 3 s pass in which each gateway gets 5 reads and 2 posts a second
    And the first tries of the next 2 s are counted
    Then the first tries at gateways <cut> are served two thirds as often as the others or better
    And every post ran at most once, and none that was told not to have run

    Examples:
      | cut   | shape      |
      | 1 2 3 | hang       |
      | 1 2 3 | reset      |
      | 1     | refuse-new |
