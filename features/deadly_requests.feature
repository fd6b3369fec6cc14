Feature: Requests that crash the servers that run them

  Scenario: A request that crashes servers is kept from them at every VM
    Given 5 gateways before 8 servers that are back 1.5 s after a crash
    When a deadly read comes each 0.15 s for 8 s, beside 12 reads a second
    Then the deadly request reached servers at most 3 times later than 3 s after its third crash
    And it crashed at most 5 servers
    And at least 0.97 of the other requests were served
