Feature: Requests of tenants through a gateway

  Scenario Outline: A request with <key> on a <route> route gets <status>, and no server <got> it
    Given a platform with tenants and a gateway
    When a caller reads on the <route> route with <key>
    Then it gets <status> with the code "<code>"
    And <count> requests reached a server, none of them with a key

    Examples:
      | key                  | route  | status | code        | count | got          |
      | its key              | closed | 200    |             | 1     | misses       |
      | its key in lower case fields | closed | 200 |       | 1     | misses       |
      | no key               | closed | 401    | unknown-key | 0     | gets         |
      | an unknown key       | closed | 401    | unknown-key | 0     | gets         |
      | an empty key         | closed | 401    | unknown-key | 0     | gets         |
      | its key and a letter | closed | 401    | unknown-key | 0     | gets         |
      | no key               | open   | 200    |             | 1     | misses       |
      | an unknown key       | open   | 200    |             | 1     | misses       |
      | its key              | missing | 404   | no-route    | 0     | gets         |
      | no key               | missing | 404   | no-route    | 0     | gets         |

  Scenario Outline: A server is told "<told>" of a request with <key> on the route <route>, whatever the caller names
    Given a platform with tenants and a gateway
    When a caller names the tenant "coal" itself and reads on the <route> route with <key>
    Then the server was told of the tenant "<told>" and of no other

    Examples:
      | key     | route  | told |
      | its key | closed | gold |
      | its key | open   |      |
      | no key  | open   |      |

  Scenario: Without tenants a caller's X-Tenant and Api-Key are the application's, and go on as before
    Given a platform without tenants and a gateway
    When a caller names the tenant "coal" itself and reads on the closed route with its key
    Then the server was told of the tenant "coal" and of no other
    And 1 requests reached a server, each of them with the caller's key

  Scenario: A gateway without any configuration answers 503, never 401
    Given a platform without a configuration and a gateway
    When a caller reads on the closed route with no key
    Then it gets 503 with the code "not-ready"

  Scenario: A tenant's priority replaces that of the route
    Given a platform with tenants and a gateway
    Then a request of a tenant with priority 0 has priority 0
    And a request of a tenant without one has that of the route, 1
    And a request of no tenant has that of the route, 1

  Scenario: No log line and no metric shows a key
    Given a platform with tenants and a gateway
    When callers read with known and unknown keys, and one names its key in a broken document
    Then no row of the log, no metric and no other endpoint shows a key
