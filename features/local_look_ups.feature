Feature: Look-ups return VMs of the caller's data centre while these have room

  Scenario: A caller isn't sent to another data centre whose VMs carry no more
    Given 4 VMs of 200 requests per second in "dc-a" and 8 in "dc-b"
    When callers of "dc-a" send 100 requests per second
    Then look-ups from "dc-a" return its 4 VMs and no other
    And each of them comes first equally often

  Scenario: Callers don't overload their data centre's few VMs
    Given 4 VMs of 200 requests per second in "dc-a" and 8 in "dc-b"
    When callers of "dc-a" send 1600 requests per second
    Then a quarter of the addresses for "dc-a" are its own

  Scenario: The share of own VMs doesn't swing with the loads that it leads to
    Given 4 VMs of 200 requests per second in "dc-a" and 8 in "dc-b"
    When callers of "dc-a" send 1600 requests per second for 1000 s
    Then the load of "dc-a" settles between 0.4 and 0.6 of its capacity

  Scenario: The only VM of a data centre isn't a caller's only address
    Given 1 VMs of 200 requests per second in "dc-a" and 8 in "dc-b"
    When callers of "dc-a" send 10 requests per second
    Then about half of the addresses for "dc-a" are its own

  Scenario Outline: Look-ups return all VMs where the data centre is no help
    Given <own> VMs of <size> requests per second in "dc-a" and 8 in "dc-b"
    And the gateway of "dc-b" hears them
    Then a look-up from "<caller>" returns VMs of all data centres

    Examples:
      | own | size | caller |
      | 4   | 200  | dc-c   |
      | 4   | 200  |        |
      | 4   | 0    | dc-a   |
