Feature: Placing requests on backend servers

  Scenario Outline: Servers are filled up to the concurrency of highest throughput
    Then the best concurrency of <slots> slots is <best>

    Examples:
      | slots | best |
      | 1     | 1    |
      | 3     | 2    |
      | 4     | 3    |
      | 10    | 8    |

  Scenario: Requests sent after a report are added to it
    Given a server that reported 1 of 4 busy a moment ago
    When 2 requests are sent to it
    Then it is expected to take longer than before

  Scenario: The expected latency of a failing server rises and decays again
    Given a server that reported 0 of 4 busy a moment ago
    When a request to it fails
    Then it is expected to take longer than before
    And after 10 s it is expected to take as long as before

  Scenario: Two failures in a row eject a server, for longer each time
    Given a server that reported 0 of 4 busy a moment ago
    When requests to it fail repeatedly
    Then it is ejected for 1 s, 2 s, 4 s, 8 s and 8 s

  Scenario: Responses slower than expected raise the expected latency
    Given a server that reported 0 of 4 busy a moment ago
    When 4 responses take 5 times as long as expected
    Then it is expected to take at least 3 times as long

  Scenario: The fleet's retries and hedges stay within its budget
    Given 13 VMs with a retry budget of 0.2 of the requests and 56 more in any 10 s
    When each sends 5 requests a second for 60 s and wants to retry them all
    Then no window of 10 s has more retries than the fleet's budget
    And most of the budget is used

  Scenario: A VM that has just started has no part of the fixed number yet
    Given 13 VMs with a retry budget of 0.2 of the requests and 56 more in any 10 s
    When a VM that started a moment ago wants to retry its first request
    Then its budget does not allow it

  Scenario: Probes stay within the budget
    Given a budget of 50 probes per second
    When 20 probes are requested every 0.1 s for 60 s
    Then at most 50 per second and those of 6 s more are sent

  Scenario: A hedge is sent as late as the objective allows
    Then with 0.1 s of service time, 0.12 s expected and 0.4 s left the hedge is due in 0.28 s
    And with 0.3 s of service time, 0.3 s expected and 0.4 s left the hedge is due in 0.9 s

  Scenario: Pool weights hold over few requests
    Given a route that splits its requests 90 to 10
    When 13 VMs route 50 requests each
    Then the small share is within 0.03 of its weight

  Scenario: A route that changes its shares starts with new credits
    Given a route that splits its requests 90 to 10
    When its requests go to one pool only
    Then all requests go to that pool

  Scenario: Responsive servers that are not ejected are probed first
    Given 8 servers of which 2 are ejected and 1 does not answer
    Then the first 5 to probe are the others

  Scenario: The first of the VMs that are alive reads the store most often
    Given 5 VMs that hear each other
    Then their ranks are 0 to 4, each once
    And the state age at which they read grows with their rank up to 1.2 s

  Scenario: Look-ups return only VMs that are alive
    Given a VM that heard "b" ready and "c" stopping, and not "d"
    Then a look-up returns itself and "b"
    When "b" is declared dead
    Then a look-up returns it alone

  Scenario: A VM that has heard no other VM can't tell which of them are alive
    Given a VM that heard none of the listed VMs "b", "c" and "d"
    Then a look-up returns it and all of these

  Scenario: A VM that is stopping stays out until its next start
    Given a VM that heard "b" ready and "c" stopping, and not "d"
    When a late message says that "c" was ready before
    Then a look-up returns itself and "b"
    When "c" restarts and sends a message that it is ready
    Then a look-up returns itself, "b" and "c"

  Scenario: Near servers are probed before others, the same ones each time
    Given 12 servers in the VM's own data centre and 12 in another
    Then the first 5 to probe are always of the same 8 near ones

  Scenario: A process that has just started may probe
    Given the probe budgets of a VM that started a moment ago
    Then it may send 20 probes at once

  Scenario: A busy pool uses the probes that quiet pools leave, up to a limit
    Given the probe budgets of a VM with 10 probes per second per server
    When pool "busy" of 4 servers wants 100 probes per second for 60 s beside a quiet pool of 8 servers
    Then it sends 80 per second
    When pool "busy" of 8 servers wants 200 probes per second for 60 s beside a quiet pool of 4 servers
    Then it sends 120 per second

  Scenario: A late message of a previous process changes nothing
    Given a VM that heard "b" ready and "c" stopping, and not "d"
    When "c" restarts and sends a message that it is ready
    And a late message of the previous process of "c" says that it is stopping
    Then a look-up returns itself, "b" and "c"

  Scenario: The expected latency is proportional to the slowness of a server's VM
    Given a server that reported 0 of 4 busy a moment ago
    When its VM reports 4 times the usual slowness
    Then it is expected to take 4 times as long

  Scenario: A service time estimate is settled after several responses
    Given a route without any estimate and with an objective of 0.4 s
    When 5 of its requests take 0.002 s each
    Then its estimate is not settled and under 0.03 s
    When 5 more of its requests take 0.002 s each
    Then its estimate is settled

  Scenario: Slow requests that run at a time don't multiply a route's estimate
    Given a route without any estimate and with an objective of 0.4 s
    When 25 of its requests at a time take 0.85 s each
    Then its estimate is at most 0.85 s

  Scenario: An estimate that rejects all requests is tried again each second
    Given a route without any estimate and with an objective of 0.25 s
    When 10 of its requests take 8 s each
    And its estimate rejects a request
    Then 0.9 s later a request is placed by its estimate
    And 1.1 s later a request is placed by 0.1 s
    And 1.2 s later a request is placed by its estimate
    And 2.2 s later a request is placed by 0.1 s
    When a request that was placed by 0.1 s takes 0.02 s
    Then its estimate is at most 4.1 s
    And 9 s later a request is placed by its estimate

  Scenario Outline: The probes of a request depend on the budget that is left
    Given a budget that holds the probes of <held> s
    Then a request may probe in rounds of <sizes>

    Examples:
      | held  | sizes   |
      | 6.0   | 3, 3, 5 |
      | 1.0   | 3       |
      | 0.2   | 2       |

  Scenario: Servers that had room a moment ago are probed first
    Given 12 servers of which 2 had room, 2 were full and 2 were slow
    Then the 2 with room are probed first and the full and slow ones last

  Scenario Outline: Without probes left a request goes to a server that may be free
    Given 6 servers of which <full> reported a moment ago that they are full and <free> that they are free
    Then a request <outcome> without a probe

    Examples:
      | full | free | outcome                    |
      | 0    | 0    | is sent to 2 of them       |
      | 1    | 3    | is sent to 2 of them       |
      | 3    | 1    | is sent to 0 of them       |
      | 5    | 0    | is sent to 0 of them       |

  Scenario: A server with a request of this VM or an unanswered probe is not used without a probe
    Given 6 servers of which 0 reported a moment ago that they are full and 0 that they are free
    When this VM has a request at 3 of them and an unanswered probe of 2 more
    Then a request is sent to 1 of them without a probe

  Scenario: While loads are not known probes are shared by the VMs' capacity
    Given 4 VMs with a capacity of 239 requests per second
    And 60 VMs with a capacity of 50 requests per second
    Then before any load is known their shares of the probes add up to 1
    And a large VM has the share of at least 4 small ones

  Scenario: A VM that gets few requests opens few connections to servers
    Given 12 servers in the VM's own data centre and 12 in another
    When the VM gets 1 requests per second
    Then it probes 1 server at first and 11 at most
    And 40 requests begin with 2 different servers at most
    When the VM gets 30 requests per second
    Then it probes 3 servers at first and 11 at most
    And 40 requests begin with 8 different servers at most

  Scenario: An outage of the store costs few calls in a large fleet
    Given 313 VMs that know each other and hold a state of 0 s, with a bound of 3 s
    When the store gives no reply for 5 s
    Then it got at most 80 calls
    When it replies again
    Then a VM reads it within 0.8 s

  Scenario: A VM that the store refuses leaves the first reads to the others
    Given 13 VMs that know each other and hold a state of 0 s, with a bound of 2 s
    When the store refuses the first VM for 6 s
    Then that VM has called the store at most 3 times
    And the state was never older than 1.1 s

  Scenario: A VM moves up when those before it die
    Given 313 VMs that know each other and hold a state of 0 s, with a bound of 3 s
    When the first 100 VMs die
    Then a VM reads it within 1.2 s

  Scenario: The backoff after a long outage is bounded
    Given a VM whose last 5000 reads failed
    Then it reads again after at most 2 s

  Scenario: A pool that sheds for long gets its retries in every second, the urgent first
    Given 100 urgent and 240 other requests per second to servers that shed 55 % of them
    When they arrive for 8 s
    Then at least 60 % of the urgent ones are served in each 2 s
    And at least 42 % of the others are served in each 2 s
    And the retry budget is used

  Scenario: Retries after a few failures are allowed at once
    Given 100 urgent and 240 other requests per second to servers that shed 4 % of them
    When they arrive for 8 s
    Then at least 98 % of the urgent ones are served in each 2 s
    And at least 98 % of the others are served in each 2 s

  Scenario: Every request sent since a server's report counts
    Given a server that reported 0 of 4 busy a moment ago
    When 20 more requests are sent to it
    Then 20 of them count as sent since the report
    When it reports again
    Then 0 of them count as sent since the report
