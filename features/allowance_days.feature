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
