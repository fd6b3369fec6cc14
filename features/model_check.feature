Feature: exhaustive model check of commits, the store's watcher and leases
  The product's code for commits, watching the store, comparing heads and leases
  runs under every order of its calls on the head, with a bounded number of
  faults. In runs with faults both operators have read the tables beforehand.
  All other keys are written once under unique names, so the order of those
  writes does not matter.

  Scenario Outline: two operators and faults of the compare-and-swap
    Then every order of two <changes> with at most <faults> faulty swaps preserves the invariants

    Examples:
      | changes             | faults |
      | disjoint changes    | 0      |
      | overlapping changes | 0      |
      | racing references   | 0      |
      | disjoint changes    | 1      |
      | overlapping changes | 1      |
      | racing references   | 1      |

  Scenario: an operator, two entries and a store that is reset to an older state
    Then every order of a change, a watcher, a peer and a reset preserves the invariants

  Scenario: a lease, its holder's pause and a successor
    Then every order of up to 9 steps of two lease holders preserves the invariants
