Feature: choosing the backend server
  The scenarios run the entry's decisions with a manual clock and a seeded
  random source.

  Scenario: a fresh report of a queue sends requests elsewhere
    Given a pool of 2 servers with 4 slots under "estimated-wait"
    When server 1 replies with 2 busy and 0 queued
    And server 0 replies with 4 busy and 6 queued
    And 3 requests are admitted
    Then server 0 got 0 of them

  Scenario: a report loses its weight and the server is used again
    Given a pool of 2 servers with 4 slots under "estimated-wait"
    When server 1 replies with 2 busy and 0 queued
    And server 0 replies with 4 busy and 6 queued
    And 20 seconds pass in the pool
    And 4 requests are admitted and end
    Then server 0 got 2 of them

  Scenario: requests sent since a report are added to it
    Given a pool of 2 servers with 4 slots under "estimated-wait"
    When server 0 replies with 0 busy and 0 queued
    And server 1 replies with 0 busy and 0 queued
    And 6 requests are admitted
    Then server 0 got 3 of them

  Scenario: a straggler gets hardly any requests
    Given a pool of 4 servers with 4 slots under "estimated-wait"
    When server 0 takes 10 times as long as the others
    And 40 requests are admitted and end
    Then server 0 got 0 of them

  Scenario: round robin takes the servers in turn
    Given a pool of 4 servers with 4 slots under "round-robin"
    When 8 requests are admitted
    Then every server got 2 of them

  Scenario: least in flight fills the servers evenly
    Given a pool of 4 servers with 4 slots under "least-in-flight"
    When 12 requests are admitted
    Then every server got 3 of them

  Scenario: the oracle chooses the server that is currently best
    Given a pool of 4 servers with 4 slots under an oracle that knows server 2 to be best
    When 3 requests are admitted
    Then server 2 got 3 of them

  Scenario: a queued request gets a server when another request ends
    Given a pool of 1 servers with 4 slots under "estimated-wait"
    When 5 requests are admitted
    Then 1 request waits
    When one of them ends
    Then 0 request waits

  Scenario: a full queue rejects requests at once with a retry-after time
    Given a pool of 1 servers with 4 slots under "estimated-wait"
    And its queue limit is 2
    When 6 requests are admitted
    Then one more is rejected with "queue-full" and a retry-after time
    And 40 rejections have at least 20 different retry-after times

  Scenario: a request whose deadline would pass in the queue is rejected at once
    Given a pool of 1 servers with 4 slots under "estimated-wait"
    When server 0 takes 8 seconds for each request
    And 4 requests are admitted
    Then one more with 1 seconds left is rejected with "deadline-unreachable" and a retry-after time

  Scenario: a request whose deadline has passed gets no server
    Given a pool of 1 servers with 4 slots under "estimated-wait"
    Then one more with 0 seconds left is rejected with "deadline-not-run" and a retry-after time

  Scenario: expired requests are removed from the queue
    Given a pool of 1 servers with 4 slots under "estimated-wait"
    When 5 requests are admitted
    And 60 seconds pass in the pool
    And one of them ends
    Then no expired request got a server

  Scenario: at most half of a pool is ejected
    Given a pool of 5 servers with 4 slots under "random"
    When every server fails 20 times
    Then 3 servers are available

  Scenario: an ejected server returns with a slow start
    Given a pool of 2 servers with 4 slots under "random"
    When server 0 fails 3 times
    Then 1 servers are available
    When 1.1 seconds pass in the pool
    Then 2 servers are available
    And server 0 may have 1 requests in flight
    When 60 seconds pass in the pool
    Then server 0 may have 4 requests in flight

  Scenario: a server that announces that it leaves gets no new request
    Given a pool of 2 servers with 4 slots under "random"
    When server 0 announces that it leaves
    And 4 requests are admitted
    Then server 0 got 0 of them

  Scenario: retries are limited to a share of the successes
    Given a pool of 2 servers with 4 slots under "random"
    When 105 requests are admitted and end
    Then 13 more attempts are allowed and no other

  Scenario: the limit of a server shrinks with a queue and grows without one
    Given a pool of 1 servers with 4 slots under "random"
    When server 0 replies 20 times with 4 busy and 9 queued
    Then server 0 may have 1 requests in flight
    When server 0 replies 24 times with 1 busy and 0 queued
    Then server 0 may have 4 requests in flight

  Scenario: an unknown policy name is rejected
    Then the policy "best" is unknown

  Scenario: the count of requests in flight is exact
    Then after any order of admissions, ends and failures the counts are right

  Scenario: a hedge is sent only to another server
    Given a pool of 1 servers with 4 slots under "random"
    When 1 requests are admitted
    Then a hedge of it finds no server and uses no retry budget

  Scenario: a server whose requests are cancelled after a hedge counts as slow
    Given a pool of 3 servers with 4 slots under "estimated-wait"
    When server 0 takes 1 times as long as the others
    And 9 requests to server 0 are cancelled after 2 seconds
    And 12 requests are admitted and end
    Then server 0 got 0 of them

  Scenario: requests that time out shrink the limit without any response
    Given a pool of 1 servers with 4 slots under "random"
    When 5 requests to server 0 time out
    Then server 0 may have 1 requests in flight

  Scenario: a server that left gets no requests until it accepts them again
    Given a pool of 2 servers with 4 slots under "random"
    When server 0 announces that it leaves
    And 600 seconds pass in the pool
    And 4 requests are admitted
    Then server 0 got 0 of them
    When server 0 is known to accept requests again
    And 1 requests are admitted
    Then server 0 got 1 of them
