Feature: Whether a VM may send requests to a server, decided without a network

  Background:
    Given the admission of a server

  Scenario: A server that said nothing gets requests
    Then a request may be sent

  Scenario: A server with a limit gets one request for each permit
    Given it named a limit of 2
    Then no request may be sent, because of "limit"
    When 2 permits arrive that were requested 0 s ago
    Then exactly 2 requests may be sent

  Scenario: A permit counts from its request, however late it arrives
    Given it named a limit of 2
    When 1 permits arrive that were requested 0.7 s ago
    And 0.2 s have passed
    Then no request may be sent, because of "limit"
    When 1 permits arrive that were requested 3 s ago
    Then no request may be sent, because of "limit"

  Scenario: Time in which the VM was suspended uses up a permit, too
    Given it named a limit of 2
    When 1 permits arrive that were requested 0 s ago
    And the VM is suspended for 5 s
    Then no request may be sent, because of "limit"

  Scenario: A limit ends with the first later answer that names none
    Given it named a limit of 2
    When an answer that names nothing arrives to a request sent 0.1 s before the limit
    Then no request may be sent, because of "limit"
    When a probe's response that names nothing arrives
    Then no request may be sent, because of "limit"
    When a rejection that names nothing arrives
    Then no request may be sent, because of "limit"
    When an answer that names nothing arrives
    Then a request may be sent

  Scenario: A leaving server gets nothing until it says otherwise itself
    Given it said that it leaves
    Then no request may be sent, because of "leaving"
    When 60 s have passed
    Then no request may be sent, because of "leaving"
    When a rejection that names nothing arrives
    Then no request may be sent, because of "leaving"
    When a probe's response that names nothing arrives
    Then a request may be sent

  Scenario: A pause lasts until its end, and a shorter one doesn't shorten it
    When a rejection asks for a pause of 3 s
    And a rejection asks for a pause of 1 s
    And 2.9 s have passed
    Then no request may be sent, because of "pause"
    When 0.1 s have passed
    Then a request may be sent

  Scenario: A statement that can't be read ends nothing
    Given it named a limit of 2
    When an answer with an unreadable limit arrives
    Then no request may be sent, because of "limit"

  Scenario: The newest notice holds, in whatever order notices arrive
    When another VM heard 2 s ago that it names a limit of 3
    And another VM heard 5 s ago that it names no limit
    Then no request may be sent, because of "limit"
    When another VM heard 1 s ago that it names no limit
    Then a request may be sent

  Scenario: Notices and statements of an earlier process don't concern the next
    Given it named a limit of 2
    When the server is registered with a later start
    Then a request may be sent
    When another VM heard 0 s ago that its earlier process leaves
    Then a request may be sent

  Scenario: A server that the store loses and lists again has still left
    Given it said that it leaves
    When the store lists no servers, and then this one again
    Then no request may be sent, because of "leaving"

  Scenario: What is known of unlisted servers is bounded
    When other VMs tell of 5000 servers that the store doesn't list
    Then at most 1100 admissions are held

  Scenario: An owner grants a limit's worth and not more, from an empty bucket
    When 13 VMs ask an owner 50 times a second each for 10 s, with a limit of 2
    Then it granted between 19 and 21 permits
    And in no second more than 3

  Scenario: No permit is requested for a server whose limit has just ended
    Then a VM requests no permit for it

  Scenario: A repeated request gets the same permits, not further ones
    When a VM repeats a request for permits 5 times
    Then it got the same reply each time and the owner granted 1 permit

  Scenario: The newest limit counts, whichever VM asks
    When VMs ask an owner with limits of 2 heard 1 s ago and 50 heard 9 s ago
    Then it granted between 19 and 23 permits in 10 s

  Scenario: Callers that limits bar return one after the other, urgent ones first
    When 10 callers of priority 1 and 5 of priority 0 are barred from a pool that takes 10 a second
    Then those of priority 0 return after 0.1 to 0.5 s
    And those of priority 1 return after 0.6 to 1.5 s
    When 100 callers of priority 1 are barred from a pool that takes 10 a second
    Then none returns later than after 2 s
