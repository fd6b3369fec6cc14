Feature: The start of many VMs at once costs the store little

  Scenario: A whole fleet that starts for the first time
    Given 24 gateways that start for the first time
    Then all of them are ready and know each other
    And the store got at most 16 writes and 24 whole reads

  Scenario: A whole fleet that is started again
    Given 24 gateways that start for the first time
    And all of them are ready and know each other
    And at most 13 records are listed
    When all of them are killed and started again
    Then all of them are ready and know each other
    And the store got at most 2 more writes

  Scenario: A VM that joins gets its state from the others
    Given 24 gateways that start for the first time
    And all of them are ready and know each other
    When one more gateway is started
    Then all of them are ready and know each other
    And the new one has not read the whole store before it was ready

  Scenario: A request that comes before a VM's first tables is answered once it has them
    Given a gateway that has just started while the store answers late
    When a request comes and the store answers after it
    Then the request gets 200

  Scenario: A VM that gets no tables rejects a request a moment after its start
    Given a gateway that has just started while the store answers late
    When a request comes
    Then the request gets 503, and a later one gets it at once
