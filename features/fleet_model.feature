Feature: A confirmed state misses no leaving server

  A model of a store and a few VMs is run through every sequence of events up
  to a length, and through much longer random sequences: servers that leave
  and disappear, VMs that read the store and get the reply later, heartbeats
  and states that arrive late, twice or never, and outages.

  Scenario: No short sequence of events violates the invariant
    When 2 VMs and 2 servers are run through every sequence of 6 events
    Then no VM confirmed a state that misses a leaving server

  Scenario Outline: No long random sequence of events violates the invariant
    When 3 VMs and 3 servers are run through <count> random sequences of 60 events with seed <seed>
    Then no VM confirmed a state that misses a leaving server
    And VMs learned of leaving servers from other VMs

    Examples:
      | count | seed |
      | 1500  | 1    |
      | 1500  | 2    |

  Scenario: The check detects VMs that confirm too much
    Given VMs that take any heartbeat as a confirmation
    When 2 VMs and 2 servers are run through every sequence of 6 events
    Then some VM confirmed a state that misses a leaving server

  Scenario: No short sequence with a store that goes back violates an invariant
    Given a store that goes back, and writes that are made again
    When 1 VMs and 1 servers are run through every sequence of 6 events
    Then no VM confirmed a state that misses a leaving server

  Scenario Outline: No long sequence with a store that goes back violates an invariant
    Given a store that goes back, and writes that are made again
    When 2 VMs and 2 servers are run through <count> random sequences of 30 events with seed <seed>
    Then no VM confirmed a state that misses a leaving server

    Examples:
      | count | seed |
      | 300   | 1    |
      | 300   | 2    |
