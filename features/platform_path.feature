Feature: Gateways on the platform, end to end in separate processes

  Background:
    Given a store and servers "s-1" and "s-2"
    And gateway processes on VMs 1, 2 and 3

  Scenario: Look-ups return all VMs and each VM serves requests
    Then a look-up at each VM returns 3 addresses
    And a request through each VM gets 200

  Scenario: Look-ups leave out a killed VM until it is started again
    When VM 1 is killed
    Then a look-up at VM 2 returns 2 addresses
    When VM 1 is started again
    Then a look-up at VM 2 returns 3 addresses

  Scenario: A graceful shutdown interrupts no request
    Given the servers take 1 s
    When VM 1 gets SIGTERM while it serves a request
    Then the request gets 200 and its connection is closed after it
    And VM 1 is not ready, and look-ups at VM 2 return 2 addresses
    And a late request to VM 1 gets 200
    And VM 1 exits with status 0

  Scenario: SIGHUP does not disturb requests in flight
    Given the servers take 0.3 s
    When VM 1 gets SIGHUP while it serves a request
    Then the request gets 200

  Scenario: SIGHUP does not end a process that is loading its modules
    When VM 1 is killed
    And VM 1 is started again, and gets SIGHUP from its first module on until it listens, as its settings change
    Then a look-up at VM 2 returns 3 addresses
    And a request through each VM gets 200
    And VM 1 soon uses the changed settings

  Scenario: New tables are in force on every VM within the time limit
    When the operator adds the route "/added/"
    Then a request for "/added/1" gets 200 through each VM within 2 s
    When the operator removes the route "/added/"
    Then a request for "/added/1" gets 404 through each VM within 2 s

  Scenario: An unreadable document does not replace the tables in force
    When the operator's document is unreadable
    Then a request through each VM gets 200
    And the log of VM 1 or another VM has event 721

  Scenario: A leaving server gets no request from any VM after the time limit
    When "s-1" starts leaving
    And 2 s pass
    Then 12 requests through the VMs all go to "s-2"

  Scenario Outline: VMs go on serving from their last state during a store outage
    When the store has the fault <fault> for all VMs
    And 3 s pass
    Then a request through each VM gets 200
    And a look-up at each VM returns 3 addresses
    When the store recovers and "s-1" starts leaving
    And 2 s pass
    Then 12 requests through the VMs all go to "s-2"

    Examples:
      | fault    |
      | BUSY     |
      | TOO_MANY |
      | RESET    |
      | SILENT   |

  Scenario: A VM that the store rejects learns of a leaving server from other VMs
    When the store has the fault BUSY for VM 1
    And VMs 2 and 3 no longer read the store
    And 3 s pass
    Then the log of VM 1 has event 724
    When VMs 2 and 3 read the store again
    And "s-1" starts leaving
    And 2 s pass
    Then 6 requests through VM 1 all go to "s-2"

  Scenario: Other VMs take over when the VM that reads the store dies
    When the VM that reads the store is killed
    And "s-1" starts leaving
    And 2 s pass
    Then 12 requests through the VMs all go to "s-2"

  Scenario: A VM that was suspended catches up before it sends requests
    When VM 1 is suspended for 4 s while "s-1" starts leaving
    And 2 s pass
    Then 6 requests through VM 1 all go to "s-2"

  Scenario: A few reads of the store suffice for all VMs
    When 5 s pass
    Then the store was read at most 3 times a second

  Scenario: Malformed server entries do not affect other servers
    When the store contains malformed server entries
    And 2 s pass
    Then a request through each VM gets 200

  Scenario Outline: A gateway does not start with invalid settings
    When a gateway is started with <settings> settings
    Then it exits with status 2 and logs the reason with event 705

    Examples:
      | settings   |
      | missing    |
      | cut short  |
      | incomplete |
      | wrong      |

  Scenario: Settings that become invalid leave the old ones in use
    When the settings of VM 1 are cut short
    And 2 s pass
    Then a request through each VM gets 200
    And the log of VM 1 has event 705
