Feature: What is confirmed is known

  A small world is played in every order of its events up to a depth, and much
  longer in random orders: servers that join, leave and go, VMs that read the
  store and get the reply later, heartbeats and states that come late, twice or
  never, outages.

  Scenario: No order of few events breaks a promise
    When 2 VMs and 2 servers are played in every order of 6 events
    Then no VM held as confirmed what it did not know

  Scenario Outline: Nor does any of many random orders
    When 3 VMs and 3 servers are played in <count> random orders of 60 events by seed <seed>
    Then no VM held as confirmed what it did not know
    And leavings were learned through other VMs

    Examples:
      | count | seed |
      | 1500  | 1    |
      | 1500  | 2    |

  Scenario: The check sees a VM that confirms too much
    Given VMs that take any heartbeat as a confirmation
    When 2 VMs and 2 servers are played in every order of 6 events
    Then some VM held as confirmed what it did not know
