Feature: The VMs that look-ups return, and the share of probes of each

  Scenario: VMs of equal capacity are all returned
    Given 13 VMs with a capacity of 215 requests per second
    When callers send 40 requests per second
    Then look-ups return 13 VMs

  Scenario: Only large VMs are returned while they carry the demand
    Given 8 VMs with a capacity of 239 requests per second
    And 94 VMs with a capacity of 50 requests per second
    When callers send 500 requests per second
    Then look-ups return the 8 VMs with a capacity of 239 requests per second

  Scenario: Under a larger demand small VMs are added, the same ones each time
    Given 8 VMs with a capacity of 239 requests per second
    And 94 VMs with a capacity of 50 requests per second
    When callers send 1500 requests per second
    Then look-ups return 30 VMs
    And they are the same if the VMs are listed in another order

  Scenario: At least 6 VMs are returned
    Given 2 VMs with a capacity of 239 requests per second
    And 40 VMs with a capacity of 50 requests per second
    When callers send 10 requests per second
    Then look-ups return 6 VMs

  Scenario: All VMs are returned if the capacity of one is not known
    Given 8 VMs with a capacity of 239 requests per second
    And 5 VMs with a capacity of 0 requests per second
    When callers send 10 requests per second
    Then look-ups return 13 VMs

  Scenario: All VMs are returned if the demand is not known
    Given 8 VMs with a capacity of 239 requests per second
    And 20 VMs with a capacity of 50 requests per second
    When the demand is not known
    Then look-ups return 28 VMs

  Scenario: Most of the probes go to the VMs that receive the requests
    Given a fleet of 20 VMs of which 4 receive 100 requests per second each
    Then the shares of all VMs add up to 1
    And each of the 4 has more than a sixth

  Scenario: A VM that hears few others takes an equal share
    Given a VM that lists 9 others and hears 2 of them
    Then its share of the probes is a tenth
    And it does not know the demand

  Scenario Outline: A VM's capacity follows from the platform's settings
    Given a settings file whose limits are <limits>
    Then the VM has a capacity of <capacity> requests per second

    Examples:
      | limits                                                     | capacity |
      | {"cpu_share": 0.717, "cores": 3, "link_mbps": 200}         | 239      |
      | {"cpu_share": 0.43, "cores": 1, "link_mbps": 10}           | 50       |
      | {"cpu_share": 0.86}                                        | 0        |
      | {}                                                         | 0        |

  Scenario: Limits that are not numbers are rejected
    Given a settings file whose limits are {"cpu_share": "much"}
    Then the settings are rejected
