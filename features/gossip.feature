Feature: VMs learn quickly which of them are alive, in fleets of any size

  The gossip of every VM runs in virtual time over a played network.

  Scenario Outline: A VM that died is soon left out of all look-ups
    Given <size> VMs that lose 5 % of their datagrams, with seed <seed>
    When 1 VM dies
    And the fleet runs for 1.5 s
    Then no VM returns a dead one in look-ups

    Examples:
      | size | seed |
      | 13   | 1    |
      | 13   | 2    |
      | 13   | 3    |
      | 60   | 1    |
      | 60   | 2    |
      | 60   | 3    |

  Scenario Outline: So are more than half of the VMs that die at once
    Given <size> VMs that lose 5 % of their datagrams, with seed <seed>
    When 55 % of the VMs die
    And the fleet runs for 1.5 s
    Then VMs return at most 1 % of the dead ones in look-ups
    When the fleet runs for 1 s
    Then no VM returns a dead one in look-ups

    Examples:
      | size | seed |
      | 13   | 1    |
      | 60   | 1    |
      | 60   | 2    |

  Scenario Outline: No VM that is alive is left out because datagrams get lost
    Given <size> VMs that lose 5 % of their datagrams, with seed <seed>
    When the fleet runs for 15 s
    Then every VM returns all others in look-ups

    Examples:
      | size | seed |
      | 13   | 1    |
      | 60   | 1    |

  Scenario: A VM's messages don't grow with the fleet
    Given 13 VMs that lose 5 % of their datagrams, with seed 1
    When the fleet runs for 5 s
    Then each VM sent at most 50 datagrams and 11000 bytes a second
    Given 100 VMs that lose 5 % of their datagrams, with seed 1
    When the fleet runs for 5 s
    Then each VM sent at most 50 datagrams and 11000 bytes a second

  Scenario: A VM that stops is left out at once
    Given 60 VMs that lose 5 % of their datagrams, with seed 1
    When 1 VM announces that it stops
    And the fleet runs for 0.5 s
    Then no VM returns it in look-ups

  Scenario: A paused VM is left out, and is back soon after it runs again
    Given 20 VMs that lose 5 % of their datagrams, with seed 1
    When 1 VM is paused for 3 s
    And the fleet runs for 2 s
    Then no VM returns it in look-ups
    When the fleet runs for 2 s
    Then every VM returns all others in look-ups

  Scenario: A short pause of a VM changes nothing
    Given 20 VMs that lose 5 % of their datagrams, with seed 1
    When 1 VM is paused for 0.3 s
    And the fleet runs for 0.4 s
    Then every VM returns all others in look-ups

  Scenario: A VM whose clock was set back before its restart is heard again
    Given 20 VMs that lose 5 % of their datagrams, with seed 1
    When 1 VM dies
    And the fleet runs for 2 s
    And it starts again with its clock set back
    And the fleet runs for 1.5 s
    Then every VM returns all others in look-ups

  Scenario: A VM that is cut off from all others keeps what it knows
    Given 20 VMs that lose 5 % of their datagrams, with seed 1
    When 1 VM is cut off from the others
    And the fleet runs for 3 s
    Then it returns all others in look-ups
    And it has no quorum
    And no other VM returns it in look-ups
    When the cut heals
    And the fleet runs for 2 s
    Then every VM returns all others in look-ups

  Scenario: Two parts of a fleet that were cut off from each other unite
    Given 20 VMs that lose 5 % of their datagrams, with seed 1
    When half of the VMs are cut off from the others
    And the fleet runs for 3 s
    Then each VM returns just its own part in look-ups
    When the cut heals
    And the fleet runs for 6 s
    Then every VM returns all others in look-ups

  Scenario: A paused VM takes no datagram that waited for it as fresh
    Given a VM that holds the same state as another one
    When it is paused for 3 s
    And a datagram arrives that says the state was confirmed 0.1 s ago
    Then its state was not confirmed
    When it runs for 0.1 s
    And a datagram arrives that says the state was confirmed 0.1 s ago
    Then its state was not confirmed
    When it runs for 0.3 s
    And a datagram arrives that says the state was confirmed 0.1 s ago
    Then its state was confirmed

  Scenario: A paused VM takes no notice of a server that waited for it as the newest
    Given a VM that holds the same state as another one
    And it heard 1 s ago that server "s-1" names a limit of 2
    When it is paused for 3 s
    And a datagram arrives that says "s-1" named a limit of 50 0.1 s ago
    Then it holds a limit of 2 for "s-1"
    When it runs for 0.3 s
    And a datagram arrives that says "s-1" named a limit of 50 0.1 s ago
    Then it holds a limit of 50 for "s-1"

  Scenario: A notice of a server that was started again meanwhile is not passed on
    Given a VM that holds the same state as another one
    And it heard 1 s ago that server "s-1" names a limit of 2
    When its notice of "s-1" is queued and "s-1" is registered with a later start
    Then it sends a datagram without a notice

  Scenario Outline: Where bytes between data centres count, fewer go there, and a dead VM is noticed as soon
    Given <size> VMs that lose 5 % of their datagrams, with seed <seed>
    When the fleet runs for 3 s
    And VMs spare other data centres, and the fleet runs for 3 s
    Then they have sent at most 0.65 of the bytes to other data centres that they sent before
    When 1 VM dies
    And the fleet runs for 1.3 s
    Then no VM returns a dead one in look-ups

    Examples:
      | size | seed |
      | 60   | 1    |
      | 100  | 2    |

  Scenario: A data centre with few VMs is pinged as before, however large the others are
    Given VMs that spare other data centres, 40 in one of them and 2 in another one
    When those of the large one ping for 10 s
    Then each VM of the small one is pinged at least 0.8 times as often as one of the large one
