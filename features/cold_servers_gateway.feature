Feature: Gateways keep to what a cold server takes

  Scenario: A server that starts cold gets its first request and not more than its bound
    Given 4 gateways whose cold servers take 2.7 requests a second
    And server "s-1" starts, cold for 8 s, beside the warm server "s-2"
    When each gateway gets 15 reads a second for 5 s
    Then "s-1" got requests in the last 5 s
    And "s-1" got at most 12 requests in any second
    And every read got 200

  Scenario: A running server that becomes cold gets no more than its bound from then on
    Given 4 gateways whose cold servers take 2.7 requests a second
    And server "s-1" starts, cold for 0 s, beside the warm server "s-2"
    When each gateway gets 15 reads a second for 2 s
    And server "s-1" becomes cold for 8 s while it runs
    And each gateway gets 15 reads a second for 4 s
    Then "s-1" got at most 12 requests in any second
    And every read got 200

  Scenario: Where all servers are cold, callers are told at once when to come back
    Given 4 gateways whose cold servers take 2.7 requests a second
    And server "s-1" starts, cold for 8 s, beside the cold server "s-2"
    When each gateway gets 15 reads a second for 4 s
    Then "s-1" got requests in the last 4 s
    And "s-1" got at most 12 requests in any second
    And "s-2" got at most 12 requests in any second
    And every read got 200 or was told when to come back

  Scenario: Without the bounds in the settings a cold server is used as any other
    Given 4 gateways without bounds of cold servers
    And server "s-1" starts, cold for 8 s, beside the warm server "s-2"
    When each gateway gets 15 reads a second for 3 s
    Then "s-1" got more than 40 requests
