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
      | 1 2 3 | refuse-new |
      | 1 2 3 4 | hang     |

  Scenario: One VM of thirteen serves the callers of all others
    Given a fleet of 13 gateways before 6 servers
    And each gateway has served reads and posts
    When gateways 1 2 3 4 5 6 7 8 9 10 11 12 are cut off from all servers, shape "hang"
    And 3 s pass in which each gateway gets 2 reads and 1 posts a second
    And the first tries of the next 2 s are counted
    Then the first tries at gateways 1 2 3 4 5 6 7 8 9 10 11 12 are served two thirds as often as the others or better
    And every post ran at most once, and none that was told not to have run

  Scenario: A VM that starts while it is cut off serves its callers
    Given a fleet of 3 gateways before 4 servers
    When a fourth gateway starts that is cut off from all servers
    And the first tries of the next 2 s are counted
    Then the first tries at gateways 4 are served two thirds as often as the others or better

  Scenario Outline: Where servers respond to no VM, nothing is passed on and callers are rejected at once
    Given a fleet of 4 gateways before 4 servers
    And each gateway has served reads and posts
    When gateways 1 2 3 4 are cut off from all servers, shape "<shape>"
    And 2 s pass in which each gateway gets 5 reads and 2 posts a second
    And the requests passed on so far are noted
    And the first tries of the next 1 s are counted
    Then no further request was passed on
    And all counted tries were rejected as not run without a search, with a time to return

    Examples:
      | shape |
      | hang  |
      | reset |

  Scenario: Callers are served while the store is away too
    Given a fleet of 3 gateways before 4 servers
    And each gateway has served reads and posts
    When the store gives no response
    And gateways 1 are cut off from all servers, shape "reset"
    And 3 s pass in which each gateway gets 5 reads and 2 posts a second
    And the first tries of the next 1 s are counted
    Then the first tries at gateways 1 are served two thirds as often as the others or better
