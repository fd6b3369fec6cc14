Feature: Deciding where a request goes, and when

  Scenario: The newest request that can be served in time goes first
    Given requests "old" and "new" that arrived 0.1 s apart
    When an idle server is offered
    Then "new" gets it

  Scenario: A more urgent request goes before a newer one
    Given requests "urgent" of priority 1 and "newer" of priority 2
    When an idle server is offered
    Then "urgent" gets it

  Scenario: A slow server is left to those that are late already
    Given requests "late" that is past its objective and "new"
    When a slow server is offered
    Then "late" gets it

  Scenario: A slow server is not taken by a request that a quick one can serve
    Given a request "new"
    When a slow server is offered
    Then nobody gets it

  Scenario: After some rounds any server is better than none
    Given a request "new"
    When 5 rounds pass without a good server
    And a slow server is offered
    Then "new" gets it

  Scenario: A server that was tried is not offered again to the same request
    Given a request "new" that has tried the server
    When an idle server is offered
    Then nobody gets it

  Scenario: What can't be served before its deadline is refused at once
    Given a request "new" whose deadline is nearer than its work takes
    When the line gives up what is hopeless
    Then "new" is refused with a time to come back

  Scenario: More than can be served soon is refused, the least urgent first
    Given 30 waiting requests, of which 5 are of a more urgent priority
    When the line gives up what is hopeless
    Then 8 requests wait and the 5 urgent ones are among them

  Scenario Outline: Servers are filled up to where they get most done
    Then the best concurrency of <slots> slots is <best>

    Examples:
      | slots | best |
      | 1     | 1    |
      | 3     | 2    |
      | 4     | 3    |
      | 10    | 8    |

  Scenario: A report counts what was sent after it
    Given a server that reported 1 of 4 busy a moment ago
    When 2 requests are sent to it
    Then it is expected to take longer than before

  Scenario: A server that fails is expected to take longer, for a while
    Given a server that reported 0 of 4 busy a moment ago
    When a request to it fails
    Then it is expected to take longer than before
    And after 10 s it is expected to take as long as before

  Scenario: Two failures in a row put a server out, longer each time
    Given a server that reported 0 of 4 busy a moment ago
    When requests to it fail over and over
    Then it is out for 1 s, 2 s, 4 s, 8 s and 8 s

  Scenario: Slower answers than expected are remembered
    Given a server that reported 0 of 4 busy a moment ago
    When 4 answers take 5 times as long as expected
    Then it is expected to take at least 3 times as long

  Scenario: The fleet's second sends stay within its allowance
    Given 13 VMs with a ratio of 0.2 and 56 more in any 10 s
    When each sends 5 requests a second for 60 s and wants to repeat them all
    Then no window of 10 s has more second sends than the fleet's allowance
    And most of the allowance is used

  Scenario: A VM that has just started has no share of the fixed number yet
    Given 13 VMs with a ratio of 0.2 and 56 more in any 10 s
    When a VM that started a moment ago wants to repeat its first request
    Then it may not

  Scenario: The questions stay within the budget
    Given a budget of 50 questions a second
    When 20 questions are wanted each 0.1 s for 60 s
    Then at most 50 a second and 6 s more are asked

  Scenario: A second send comes as late as the objective allows
    Then with 0.1 s of work, 0.12 s expected and 0.4 s left it is due in 0.28 s
    And with 0.3 s of work, 0.3 s expected and 0.4 s left it is due in 0.9 s

  Scenario: Weights are kept over few requests
    Given a route that splits its requests 90 to 10
    When 13 VMs spread 50 requests each
    Then the small share is within 0.03 of its weight

  Scenario: A route that changes its shares starts anew
    Given a route that splits its requests 90 to 10
    When its requests go to one pool only
    Then all requests go to that pool

  Scenario: Servers in good standing are asked first
    Given 8 servers of which 2 are out and 1 does not answer
    Then the first 5 that are asked are the others

  Scenario: The first of the living VMs reads the store most often
    Given 5 VMs that hear each other
    Then their places are 0 to 4, each once
    And the ages at which they read grow with their place up to 1.2 s

  Scenario: Look-ups name living VMs only
    Given a VM that hears "b" ready, "c" stopping and has not heard "d"
    Then a look-up names itself and "b"
    When "b" falls silent
    Then a look-up names itself, "b" and "d"

  Scenario: A VM that was told to stop stays out whatever it says later
    Given a VM that hears "b" ready, "c" stopping and has not heard "d"
    When "c" says that it is ready
    Then a look-up names itself and "b"
    When "c" starts anew and says that it is ready
    Then a look-up names itself, "b" and "c"

  Scenario: Overload does not cost those that can be served in time
    Given 6 servers of 3 slots that serve 100 requests a second at best
    When 150 requests a second come for 20 s
    Then at least half of what could be served in time is
    And no request is held past its deadline
    And at least twice as many are in time as with the oldest first

  Scenario: Near servers are asked before others, the same ones each time
    Given 12 servers in the own data centre and 12 in another
    Then the first 5 that are asked are always of the same 8 near ones

  Scenario: A VM's record is written once and not again
    Given a VM whose record the store lacks
    When it reads the store
    Then it writes its record
    When it reads the store with the record of its process before
    Then it writes nothing

  Scenario: The record of a lost VM is removed, after two minutes and by one VM
    Given a VM that stands first, hears "a" and lists "a" and "lost"
    When 60 s pass and it reads the store
    Then it writes nothing
    When 61 s pass and it reads the store
    Then it removes the record of "lost"

  Scenario: A VM that hears few others removes no record
    Given a VM that stands first, hears nobody and lists "a" and "lost"
    When 200 s pass and it reads the store
    Then it writes nothing

  Scenario: A process that has just started may ask
    Given the budgets of a VM that started a moment ago
    Then it may ask 20 questions at once

  Scenario: A busy pool uses what quiet pools leave, and no more
    Given the budgets of a VM with 10 questions a second to a server
    When pool "busy" of 4 servers wants 100 questions a second for 60 s beside a quiet pool of 8 servers
    Then it asks 80 a second
    When pool "busy" of 8 servers wants 200 questions a second for 60 s beside a quiet pool of 4 servers
    Then it asks 120 a second

  Scenario: A quick server's last slot is kept for requests in time
    Given requests "late" that is past its objective and "new"
    And a request in time has had to wait
    When the last slot of an idle server is offered
    Then "new" gets it
    When the last slot of an idle server is offered
    Then "late" does not get it

  Scenario: A late request that finds no server is told to come back
    Given a request "late" that has been late for 0.3 s
    When the line gives up what is hopeless
    Then "late" is refused with a time to come back

  Scenario: A late heartbeat of a process before changes nothing
    Given a VM that hears "b" ready, "c" stopping and has not heard "d"
    When "c" starts anew and says that it is ready
    And "c" says in a late heartbeat of its process before that it is stopping
    Then a look-up names itself, "b" and "c"

  Scenario: A slow VM takes as many times as long, and a quick one is preferred
    Given a server that reported 0 of 4 busy a moment ago
    When its VM reports 4 times the usual slowness
    Then it is expected to take 4 times as long

  Scenario: Servers are not judged by an estimate that is not settled
    Given a route of which nothing is known, with an objective of 0.4 s
    When 5 of its requests take 0.002 s each
    Then its estimate is not settled and under 0.03 s
    When 5 more of its requests take 0.002 s each
    Then its estimate is settled

  Scenario: A slow server is left alone while another was quick a moment ago
    Given requests "late" that is past its objective and "new"
    And an idle server was offered a moment ago
    When a slow server is offered
    Then nobody gets it

  Scenario: A quick server's last slot goes to a late request where none presses
    Given a request "late" that has been late for 0.1 s
    When the last slot of an idle server is offered
    Then "late" gets it

  Scenario: A burst does not outlast itself
    Given 14 servers of 3 slots, slow by turns, and 80 requests a second
    When 3 times as many come for 3 s
    Then nine tenths of those that come 5 s later are in time

  Scenario Outline: A request is as sparing with probes as the budget asks
    Given a budget that has saved <saved> s of probes
    Then a request may send rounds of <sizes>

    Examples:
      | saved | sizes   |
      | 6.0   | 3, 3, 5 |
      | 1.0   | 3       |
      | 0.2   | 2       |

  Scenario: Servers that had room a moment ago are probed first
    Given 12 servers of which 2 had room, 2 were full and 2 were slow
    Then the 2 with room are probed first and the full and slow ones last
