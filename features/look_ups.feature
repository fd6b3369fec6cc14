Feature: Which VMs callers are told to use, and what each may spend

  Scenario: VMs that are alike are all named
    Given 13 VMs good for 215 requests a second
    When callers send 40 requests a second
    Then look-ups name 13 VMs

  Scenario: Large VMs are named while they carry the demand
    Given 8 VMs good for 239 requests a second
    And 94 VMs good for 50 requests a second
    When callers send 500 requests a second
    Then look-ups name the 8 VMs good for 239 requests a second

  Scenario: Small VMs help out under a larger demand, the same ones each time
    Given 8 VMs good for 239 requests a second
    And 94 VMs good for 50 requests a second
    When callers send 1500 requests a second
    Then look-ups name 30 VMs
    And they are the same where the VMs are listed in another order

  Scenario: A few large VMs are not left alone
    Given 2 VMs good for 239 requests a second
    And 40 VMs good for 50 requests a second
    When callers send 10 requests a second
    Then look-ups name 6 VMs

  Scenario: All VMs are named where one's size is not known
    Given 8 VMs good for 239 requests a second
    And 5 VMs good for 0 requests a second
    When callers send 10 requests a second
    Then look-ups name 13 VMs

  Scenario: All VMs are named where the demand is not known
    Given 8 VMs good for 239 requests a second
    And 20 VMs good for 50 requests a second
    When the demand is not known
    Then look-ups name 28 VMs

  Scenario: What the fleet may probe goes to the VMs that callers turn to
    Given a fleet of 20 VMs of which 4 get 100 requests a second each
    Then the shares of all add up to 1
    And each of the 4 has more than a sixth

  Scenario: A VM that hears few others takes an equal share
    Given a VM that lists 9 others and hears 2 of them
    Then its share of the probes is a tenth
    And it does not know the demand

  Scenario Outline: What a VM is good for follows from the platform's settings
    Given a settings file whose limits are <limits>
    Then the VM is good for <capacity> requests a second

    Examples:
      | limits                                                     | capacity |
      | {"cpu_share": 0.717, "cores": 3, "link_mbps": 200}         | 239      |
      | {"cpu_share": 0.43, "cores": 1, "link_mbps": 10}           | 50       |
      | {"cpu_share": 0.86}                                        | 0        |
      | {}                                                         | 0        |

  Scenario: Limits that are no numbers are refused
    Given a settings file whose limits are {"cpu_share": "much"}
    Then the settings are refused
