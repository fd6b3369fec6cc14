Feature: A tenant's allowance holds over a fleet in trouble, and a new owner has what is left of it

  The gossip and the permits run in virtual time over a played network. No VM is
  excused: paused, cut off and restarted ones count as well.

  Scenario Outline: No window has more than the bound: <cause>
    When a random day of 60 s of a tenant before 13 VMs is played with seed <seed>
    Then no window of it has more requests than the bound

    Examples: Seeds that violated the bound in earlier builds
      | seed | cause                                                                        |
      | 2    | VMs that could not ask added their own part to what a live owner granted     |
      | 3    | VMs of a cut-off data centre added their own part to what was granted there  |
      | 43   | both parts of a divided fleet together granted more than the whole           |
      | 47   | VMs of a cut-off data centre added their own part to what a new owner granted |

  Scenario Outline: A tenant that sends many requests together after <change> is served
    Given a tenant with 54 requests a second and a burst of 54 before 13 VMs, with seed <seed>
    When its callers send nothing for 8 s, and then <change> <ago> s ago
    And 30 requests of the tenant arrive together
    Then at most <most> of them are refused

    Examples:
      | change                  | ago | most | seed |
      | its owner has stopped   | 0.2 | 2    | 1    |
      | its owner has stopped   | 0.2 | 2    | 2    |
      | another owner has come  | 0.3 | 2    | 1    |
      | another owner has come  | 0.3 | 2    | 2    |
      | another owner has come  | 0.3 | 2    | 5    |
      | its owner has been lost | 2.5 | 2    | 1    |
      | all VMs have started    | 1.5 | 2    | 1    |
      | all VMs have started    | 1.5 | 2    | 2    |

  Scenario Outline: Permits that nobody uses don't take a part of the allowance, at <size> VMs
    Given a tenant with <rate> requests a second and a burst of <rate> before <size> VMs, with seed 1
    When its callers send <share> of its rate to all VMs for 20 s
    Then at most 0.01 of its requests are refused

    Examples:
      | size | rate | share |
      | 13   | 10   | 0.9   |
      | 40   | 54   | 0.9   |
      | 40   | 20   | 0.9   |
