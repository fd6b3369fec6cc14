Feature: A request that one VM passes on to another is treated like any other

  Scenario: A reply that is lost between two VMs leaves a post unknown
    Given a fleet of 2 gateways before 4 servers
    And each gateway has served reads and posts
    And the servers take 0.15 s for a request
    When gateways 1 are cut off from all servers, shape "hang"
    And 1 s pass in which each gateway gets 5 reads and 2 posts a second
    And the connections between the VMs break 0.05 s after gateway 1 got 4 posts
    Then no post of the last second was told not to have run
    And every post ran at most once, and none that was told not to have run

  Scenario: A VM that is cut off itself passes nothing on for another one
    Given a fleet of 3 gateways before 4 servers
    And each gateway has served reads and posts
    When gateways 1 2 are cut off from all servers, shape "hang"
    And 1 s pass in which each gateway gets 5 reads and 2 posts a second
    And gateway 1 takes gateway 2 for a VM that servers respond to
    Then a read at gateway 1 is served, by way of gateway 3 only in the end
    And gateway 2 has passed on nothing that it took from another VM

  Scenario: A stranger who passes a request on gets nothing
    Given a fleet of 2 gateways before 4 servers
    When a client with another address passes a post on to gateway 1 in the name of "vm-2"
    Then it gets 404, and no server has run anything

  Scenario Outline: A VM that does not take a request leaves it to another one
    Given a fleet of 3 gateways before 4 servers
    And each gateway has served reads and posts
    When gateways 1 are cut off from all servers, shape "hang"
    And 1 s pass in which each gateway gets 5 reads and 2 posts a second
    And gateway 2 <state>
    And the first tries of the next 1 s are counted
    Then two thirds of the counted tries at gateway 1 are served or more, none by way of gateway 2

    Examples:
      | state                                |
      | takes no more for others             |
      | has woken from a pause a moment ago  |
      | holds older tables than gateway 1    |
      | is stopping                          |

  Scenario: Where no VM has room for others, callers are rejected at once and told when to come back
    Given a fleet of 3 gateways before 4 servers
    And each gateway has served reads and posts
    When gateways 1 are cut off from all servers, shape "hang"
    And 1 s pass in which each gateway gets 5 reads and 2 posts a second
    And gateway 2 takes no more for others
    And gateway 3 takes no more for others
    And the first tries of the next 1 s are counted
    Then all counted tries at gateway 1 were rejected as not run without a search, with a time to return

  Scenario: The limit of a server holds for requests that are passed on
    Given a fleet of 4 gateways before 1 servers
    And the servers name a limit of 3
    And each gateway has heard of the limits
    When gateways 1 2 are cut off from all servers, shape "hang"
    And 5 s pass in which each gateway gets 10 reads and 0 posts a second
    Then no server got more in any 4 s than the rule allows for a limit of 3

  Scenario: What a server says in a response binds the VM that has passed the request on
    Given a fleet of 2 gateways before 1 servers
    And each gateway has served reads and posts
    When gateways 1 are cut off from all servers, shape "hang"
    And 1 s pass in which each gateway gets 5 reads and 2 posts a second
    And server "s-1" says that it leaves, and gateway 1 gets reads until a response says so
    Then gateway 1 takes "s-1" for leaving

  Scenario: A request is counted by one VM, so that shared budgets do not grow
    Given a fleet of 2 gateways before 4 servers
    When each gateway has served reads and posts
    And gateways 1 are cut off from all servers, shape "hang"
    And 2 s pass in which each gateway gets 5 reads and 2 posts a second
    Then all VMs together have counted each request once

  Scenario: Logs of both VMs explain a request that was passed on
    Given a fleet of 2 gateways before 4 servers
    And each gateway has served reads and posts
    When gateways 1 are cut off from all servers, shape "hang"
    And 1 s pass in which each gateway gets 5 reads and 2 posts a second
    And the first tries of the next 1 s are counted
    Then the logs tell that gateway 1 passed a counted try on and that gateway 2 took it
