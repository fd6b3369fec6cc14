Feature: every interleaving up to a bound
  The product's own commits, follower, judgement and leases are driven through
  every order of their calls on the head, with a bounded number of faults; with
  faults, both operators have read the tables before. The
  other keys are written once under names of their own, so their order does not
  matter.

  Scenario Outline: two operators and faults of the swap
    Then every order of two <changes> with at most <faults> faulty swaps keeps the promises

    Examples:
      | changes             | faults |
      | disjoint changes    | 0      |
      | overlapping changes | 0      |
      | racing references   | 0      |
      | disjoint changes    | 1      |
      | overlapping changes | 1      |
      | racing references   | 1      |

  Scenario: operators, two entries and a store that is set back
    Then every order of a change, a follower, a peer and a reset keeps the promises

  Scenario: a lease, its holder's pause and a successor
    Then every order of up to 9 steps of two lease holders keeps the promises
