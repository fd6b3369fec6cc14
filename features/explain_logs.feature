Feature: Requests and servers are explained from gateway logs alone

  Background:
    Given logs of two VMs

  Scenario: A request that was refused although a server was free
    When "request refused" is explained from the logs
    Then it says "waited 392.9 ms, 11 servers were probed, it was sent to no server"
    And it says "no server is free in time"
    And it says "leaving s-7"
    And it says nothing of "s-8"

  Scenario: An unknown outcome of a non-idempotent request
    When "request lost" is explained from the logs
    Then it says "sent to s-3. Reason: s-3: reset by peer"
    And it says "a failing backend server was ejected for a limited time: server s-3"

  Scenario: A late response
    When "request late" is explained from the logs
    Then it says "Its server became slow after it was chosen"

  Scenario: A server with a failed request and an ejection
    When "server s-3" is explained from the logs
    Then it says "request lost of route posts"
    And it says "server s-3, pool pool, reason reset by peer"

  Scenario: A request that was not sent to a server at its limit
    When "request limited" is explained from the logs
    Then it says "Not sent to s-9: limit 1.9/s, s-5: leaving."
    And it says "server s-9, limit 1.9"

  Scenario: A server that says that it got too much
    When "server s-9" is explained from the logs
    Then it says "limit 1.9, leaving False"
    And it says "request limited of route posts"

  Scenario: A request that a VM without a path to its servers passed on
    When "request passed" is explained from the logs
    Then it says "The VM had no path to the servers and passed the request on to vm-2."
    And it says "It was passed on by vm-1."
    And it says "this VM has lost its path to a pool"

  Scenario: A request that is in no log
    When "request nobody" is explained from the logs
    Then the status is 1

  Scenario: Log lines that are not events are skipped
    Given a log that also has other lines
    When "request late" is explained from the logs
    Then it says "Its server became slow after it was chosen"

  Scenario Outline: The gateway's settings are checked before it runs
    Given <settings> gateway settings
    When the operator checks them
    Then the status is <status> and it says "<text>"

    Examples:
      | settings  | status | text                |
      | good      | 0      | settings are valid  |
      | cut short | 2      | settings-file-invalid |
