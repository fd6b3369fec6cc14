Feature: The queue of requests that wait for a server

  Scenario: The newest request that can be served in time is served first
    Given requests "old" and "new" that arrived 0.1 s apart
    When an idle server is offered
    Then "new" gets it

  Scenario: A more urgent request is served before a newer one
    Given requests "urgent" of priority 1 and "newer" of priority 2
    When an idle server is offered
    Then "urgent" gets it

  Scenario: A slow server is used for requests that are already late
    Given requests "late" that is past its objective and "new"
    When a slow server is offered
    Then "late" gets it

  Scenario: A slow server is not used for a request that can still be in time
    Given a request "new"
    When a slow server is offered
    Then nobody gets it

  Scenario: After 5 rounds without a server any server is used
    Given a request "new"
    When 5 rounds of offers pass without a fast server
    And a slow server is offered
    Then "new" gets it

  Scenario: A server that was tried is not offered again to the same request
    Given a request "new" that has tried the server
    When an idle server is offered
    Then nobody gets it

  Scenario: A request that cannot be served before its deadline is rejected at once
    Given a request "new" whose service time does not fit before its deadline
    When the queue rejects what it cannot serve
    Then "new" is rejected with a retry-after time

  Scenario: Requests in excess are rejected, the least urgent first
    Given 30 waiting requests, of which 5 are of a more urgent priority
    When the queue rejects what it cannot serve
    Then 8 requests wait and the 5 urgent ones are among them

  Scenario: Under overload requests that can be served in time are
    Given 6 servers of 3 slots that serve at most 100 requests per second
    When 150 requests per second arrive for 20 s
    Then at least half of what could be served in time is
    And no request is held past its deadline
    And at least twice as many are in time as with a first-in, first-out queue

  Scenario: A fast server's last slot is kept for requests in time
    Given requests "late" that is past its objective and "new"
    And a request that can be in time has had to wait
    When the last slot of an idle server is offered
    Then "new" gets it
    When the last slot of an idle server is offered
    Then "late" does not get it

  Scenario: A late request that finds no server is rejected with a retry-after time
    Given a request "late" that has been late for 0.3 s
    When the queue rejects what it cannot serve
    Then "late" is rejected with a retry-after time

  Scenario: A slow server is not used while another was fast a moment ago
    Given requests "late" that is past its objective and "new"
    And an idle server was offered a moment ago
    When a slow server is offered
    Then nobody gets it

  Scenario: A fast server's last slot goes to a late request if no other had to wait
    Given a request "late" that has been late for 0.1 s
    When the last slot of an idle server is offered
    Then "late" gets it

  Scenario: Overload ends soon after the burst that caused it
    Given 14 servers of 3 slots, each slow at times, and 80 requests per second
    When 3 times as many arrive for 3 s
    Then nine tenths of those that arrive 5 s later are in time

  Scenario: Requests in excess wait until they had an offer
    Given 12 waiting requests, of which 4 are of a more urgent priority
    When the queue rejects what it cannot serve, before any offer
    Then 12 requests wait and the 4 urgent ones are among them
    When the queue rejects what it cannot serve
    Then 8 requests wait and the 4 urgent ones are among them

  Scenario: A late request waits until it had an offer
    Given a request "late" that has been late for 0.3 s
    When the queue rejects what it cannot serve, before any offer
    Then "late" still waits
    When the queue rejects what it cannot serve
    Then "late" is rejected with a retry-after time

  Scenario: A request that can't be served before its deadline needs no offer to be rejected
    Given a request "hopeless" whose service time does not fit before its deadline
    When the queue rejects what it cannot serve, before any offer
    Then "hopeless" is rejected with a retry-after time
