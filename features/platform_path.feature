Feature: The whole path on the platform, in separate processes

  Background:
    Given a store and servers "s-1" and "s-2"
    And gateway processes on VMs 1, 2 and 3

  Scenario: A look-up names all VMs and each serves
    Then a look-up at each VM names 3 addresses
    And a request through each VM gets 200

  Scenario: A killed VM leaves the look-ups and comes back
    When VM 1 is killed
    Then a look-up at VM 2 names 2 addresses
    When VM 1 is started again
    Then a look-up at VM 2 names 3 addresses

  Scenario: A planned stop cuts off no request
    Given the servers take 1 s
    When VM 1 is told to stop while it answers a request
    Then the request gets 200 and its connection is closed behind it
    And VM 1 is not ready, and look-ups at VM 2 name 2 addresses
    And a request that still comes to VM 1 gets 200
    And VM 1 ends by itself with status 0

  Scenario: SIGHUP disturbs nothing
    Given the servers take 0.3 s
    When VM 1 gets SIGHUP while it answers a request
    Then the request gets 200

  Scenario: New tables are in force on every VM within the bound
    When the operator adds the route "/added/"
    Then a request for "/added/1" gets 200 through each VM within 2 s
    When the operator removes the route "/added/"
    Then a request for "/added/1" gets 404 through each VM within 2 s

  Scenario: A document that cannot be read changes nothing
    When the operator's document is unreadable
    Then a request through each VM gets 200
    And the log of VM 1 or of another tells event 721

  Scenario: A server that leaves gets no request on any VM after the bound
    When "s-1" says that it is leaving
    And 2 s pass
    Then 12 requests through the VMs all go to "s-2"

  Scenario Outline: Without the store what is known still serves
    When the store becomes <how> for all
    And 3 s pass
    Then a request through each VM gets 200
    And a look-up at each VM names 3 addresses
    When the store is well again and "s-1" says that it is leaving
    And 2 s pass
    Then 12 requests through the VMs all go to "s-2"

    Examples:
      | how      |
      | BUSY     |
      | TOO_MANY |
      | RESET    |
      | SILENT   |

  Scenario: A VM that the store turns away hears of a drain from the others
    When the store becomes BUSY for VM 1
    And VMs 2 and 3 no longer read the store
    And 3 s pass
    Then the log of VM 1 tells event 724
    When VMs 2 and 3 read the store again
    And "s-1" says that it is leaving
    And 2 s pass
    Then 6 requests through VM 1 all go to "s-2"

  Scenario: No promise hangs on the VM that reads the store
    When the VM that reads the store is killed
    And "s-1" says that it is leaving
    And 2 s pass
    Then 12 requests through the VMs all go to "s-2"

  Scenario: A frozen VM learns of what it missed before it sends to it
    When VM 1 is frozen for 4 s while "s-1" says that it is leaving
    And 2 s pass
    Then 6 requests through VM 1 all go to "s-2"

  Scenario: Few reads of the store serve all VMs
    When 5 s pass
    Then the store was read at most 3 times a second

  Scenario: Entries of any shape name no server and hurt no other
    When entries of unusual shapes are in the store
    And 2 s pass
    Then a request through each VM gets 200

  Scenario Outline: Settings that cannot be used
    When a gateway is started with <settings> settings
    Then it ends with status 2 and says why with event 705

    Examples:
      | settings   |
      | missing    |
      | cut short  |
      | incomplete |
      | wrong      |

  Scenario: Settings that change to the worse leave the old ones in use
    When the settings of VM 1 are cut short
    And 2 s pass
    Then a request through each VM gets 200
    And the log of VM 1 tells event 705
