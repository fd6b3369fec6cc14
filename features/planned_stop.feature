Feature: A planned stop cuts off no request, however long its server may take

  A server may take any time up to the request's deadline, and what was sent
  can't be taken back. So a VM that stops sends only requests whose deadline
  comes before its end. The others are told at once that they were not run.

  Background:
    Given a platform with servers "s-1" and "s-2" and a gateway

  Scenario Outline: A request that may outlast the stop is rejected at once as not run
    Given the gateway has <grace> s for a planned stop
    When it stops, and callers read and post after <seconds> s of it, waiting 1 s
    Then each of them gets <status>
    And each request that got 503 is told to return within 0.1 s and has not run

    Examples:
      | grace | seconds | status |
      | 1     | 0.1     | 503    |
      | 2     | 0.1     | 200    |
      | 2     | 1.2     | 503    |
      | 4     | 2.2     | 200    |

  Scenario: A request that was sent before the stop may take as long as the process lasts
    Given the gateway has 1 s for a planned stop
    And server "s-1" takes 0.8 s and "s-2" takes 0.8 s
    When a caller posts and the gateway stops as a server runs the request
    Then each of them gets 200

  Scenario: Requests that wait for a server as the stop begins are rejected at once
    Given the gateway has 1 s for a planned stop
    And server "s-1" takes 0.5 s and "s-2" takes 0.5 s
    When 14 callers post and the gateway stops as 6 of them wait
    Then 8 of them get 200, and 6 get 503 within 0.2 s of the stop
    And each request that got 503 is told to return within 0.1 s and has not run

  Scenario: No second server gets a request that may outlast the stop
    Given the gateway has 1 s for a planned stop
    And server "s-1" takes 0.3 s and "s-2" takes 0.3 s
    And every request meets the fault "ERROR"
    And the gateway has retry budget
    When a caller reads and the gateway stops as a server runs the request
    Then each of them gets 500
    And 1 request has run

  Scenario: The word of a stop that can't be sent doesn't end the stop
    Given the gateway has 2 s for a planned stop
    And server "s-1" takes 0.5 s and "s-2" takes 0.5 s
    And telling other VMs of the stop fails
    When a caller posts and the gateway stops as a server runs the request
    Then each of them gets 200

  Scenario: An upload that ends too late in the stop is rejected as not run
    Given the gateway has 2 s for a planned stop
    When it stops, and a caller whose post began 1 s into it ends its body at 1.5 s
    Then each of them gets 503
    And each request that got 503 is told to return within 0.1 s and has not run

  Scenario: A response that a caller reads slowly is sent whole
    Given the gateway has 3 s for a planned stop
    And the servers respond with 8000000 bytes
    When a caller posts, the gateway stops, and the caller reads the response within 1.5 s
    Then it has got the whole response
