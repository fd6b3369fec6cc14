Feature: Added and withdrawn keys on the path through gateways

  Scenario: A key that is added is valid soon, one that is withdrawn no more
    Given a gateway with tenants that reads the store each 0.1 s
    When the key of "gold" is replaced by another in the document
    Then within 1 s the new key gets 200
    And the old key gets 401 with the code "unknown-key"

  Scenario: A request whose key is withdrawn while it waits for a server is not sent
    Given a gateway with tenants that reads the store each 0.1 s
    And all slots of the servers are taken for 0.6 s
    When a caller reads with its key, which is withdrawn while the request waits
    Then it gets 401 with the code "unknown-key", and no server got the request

  Scenario: A request that waits while the store is lost for longer than the bound is not sent
    Given a gateway with tenants that fails closed after 0.8 s
    And all slots of the servers are taken for 1.2 s
    When the store rejects the gateway, and a caller reads with its key
    Then it gets 503 with the code "configuration-too-old", and no server got the request

  Scenario: A process that wakes from a pause asks again before it sends
    Given a gateway with tenants that fails closed after 0.8 s
    And all slots of the servers are taken for 0.4 s
    When the store rejects the gateway, which stands still for 1 s while a request waits
    Then it gets 503 with the code "configuration-too-old", and no server got the request

  Scenario Outline: Without a proof a gateway refuses tenants, and serves public routes: <case>
    Given a gateway with tenants that fails closed after 0.8 s
    When <case>, and 1.2 s pass
    Then its key on the closed route gets 503 with the code "configuration-too-old", not run, with a time to return
    And no key on the open route gets 200
    And no key on the closed route gets 401
    And the log says once that the tables are too old for tenants
    When <mending>
    Then a read with its key gets 200 within 2 s
    And the log says once that the tables are proven again

    Examples:
      | case                               | mending                       |
      | the store rejects the gateway      | the store serves the gateway  |
      | the document can't be read any more| the document can be read again|

  Scenario: Without fail_closed a gateway that has lost the store serves tenants as before
    Given a gateway with tenants that doesn't fail closed
    When the store rejects the gateway, and 1.2 s pass
    Then a read with its key gets 200 within 1 s

  Scenario: A VM that the store rejects gets its proof from another VM
    Given 2 gateways with tenants that fail closed after 1.5 s
    When the store rejects gateway 1, and 3 s pass in which its key is used there
    Then it was served each time

  Scenario: A tenant's request that is passed on is served by a VM that looks its key up itself
    Given 2 gateways with tenants, gateway 1 without links to the servers
    When a caller reads at gateway 1 with its key until another VM serves it
    Then the server was told of the tenant "gold" by gateway 2, and of no key
    And an unknown key gets 401 at gateway 1, and no server got it

  Scenario: A tenant's request is not passed on to a VM that doesn't know tenants
    Given 2 gateways with tenants, gateway 1 without links to the servers
    When a caller reads at gateway 1 with its key until another VM serves it
    And gateway 2 is taken for a VM of an earlier build
    Then its key gets 503 at gateway 1, and no server got it
    And a read of a public route with a key is passed on without the key
