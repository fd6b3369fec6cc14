Feature: What tenants cost for each request

  Scenario: A request of a tenant takes at most 1.1 times the steps of one without tenants
    When the steps of a served request are counted without tenants, with 2 tenants and with 76 of 50 keys each
    Then a request of one of 2 tenants takes at most 1.1 times the steps of one without tenants
    And a request of one of 76 tenants takes as many steps as one of 2
