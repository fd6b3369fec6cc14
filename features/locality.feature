Feature: Requests stay in their data centre unless leaving is better for callers

  Scenario: A request isn't sent away while own servers have room
    Given 12 servers in the VM's own data centre and 12 in another
    And own servers have room and a round trip of 1 ms, others one of 5 ms
    Then the first round of probes goes to own servers only
    And the next round after one without room goes to others

  Scenario: A full data centre is left at once and still filled
    Given 12 servers in the VM's own data centre and 12 in another
    And own servers have room and a round trip of 1 ms, others one of 5 ms
    When 40 probes in 80 ms find no room at home
    Then the first round of probes has 1 own server and 2 others
    When 20 probes in 60 ms find room at home
    Then the first round of probes goes to own servers only

  Scenario Outline: Nothing changes where there is nothing to decide
    Given <own> servers in the VM's own data centre and <other> in another
    And the settings say that locality is <state>
    Then servers are probed in the same order as without data centres

    Examples:
      | own | other | state |
      | 12  | 0     | on    |
      | 0   | 12    | on    |
      | 12  | 12    | off   |

  Scenario: A request with a small probe budget isn't left without a server elsewhere
    Given 12 servers in the VM's own data centre and 12 in another
    Then a request with one round of own probes may go on with one of others

  Scenario: A server elsewhere isn't used to save less than the way costs
    Given 12 servers in the VM's own data centre and 12 in another
    And own servers have room and a round trip of 1 ms, others one of 5 ms
    Then an idle server elsewhere costs at least 4 ms more than an own one
    And a response of 500 KB costs 20 ms more than an empty one
    And a server at home that is 3 times slower costs more than an idle one elsewhere

  Scenario: A data centre that reports no load but is slow is left
    Given 12 servers in the VM's own data centre and 12 in another
    When 60 own responses take 4 times as long as expected
    Then the own data centre counts as slow and the other one does not
    And 12 s later it no longer counts as slow

  Scenario: All data centres slow alike are no reason to leave
    Given 12 servers in the VM's own data centre and 12 in another
    When 60 own responses take 4 times as long as expected
    And 60 responses from elsewhere take 4 times as long as expected
    Then no data centre counts as slow

  Scenario: The probes that own servers get are limited where callers are concentrated
    Given 4 own servers and 20 others, and a VM with all callers
    When it searches 100 times a second for 10 s
    Then own servers get at most 45 probes a second each

  Scenario: A decision costs the same in a large fleet
    Given pools of 30 servers in 3 data centres and of 26000 in 31
    Then a decision calls as many functions in one as in the other

  Scenario: Metrics of what leaves don't grow with the fleet
    Given 100 requests of which each was served in another of 100 data centres
    Then at most 65 data centres are counted, and 100 requests in all

  Scenario: A share that changes to and fro doesn't flood the log
    Given a pool whose share that leaves changes between 0 and 1 every half second
    When it is checked every half second for 60 s
    Then at most 6 changes are logged
    And the first one is of all requests and says why

  Scenario Outline: The reason why a request leaves is known
    Given 12 servers in the VM's own data centre and 12 in another
    When a request finds <found>
    Then the reason to leave is <reason>

    Examples:
      | found                        | reason        |
      | no own server that may serve | no_own_server |
      | no own server with room      | no_room       |
      | an own server with room      | faster        |

  Scenario: Settings that can't be read don't start a process with other weights
    Given a settings file whose locality is {"ms_per_mb": "much"}
    Then the settings are rejected

  Scenario: Weights can be set
    Given a settings file whose locality is {"ms_per_mb": 80, "way_ms": 6}
    Then a megabyte counts as 80 ms and the way as 6 ms

  Scenario Outline: Uneven data centres leave less and serve no worse than without the decision
    Given 32, 42 and 32 servers of 3 slots at <load> of what they can serve
    When the same load is played with and without the decision
    Then a share of at most <most> of the bytes leaves with it
    And callers are served no worse

    Examples:
      | load | most |
      | 0.5  | 0.02 |
      | 0.7  | 0.06 |
      | 0.85 | 0.18 |

  Scenario: The share that leaves doesn't swing while news is late
    Given 32, 42 and 32 servers of 3 slots at 0.7 of what they can serve
    And load reports that are 100 ms old
    When it is played for 1000 steps of 10 ms
    Then the share of requests that leaves in half a second varies by at most 0.12
    And it varies by chance and does not swing with the delay of the news

  Scenario Outline: A share that swings with late news is told from one that varies by chance
    Given a share that follows <kind> for 200 steps
    Then it <verb> count as a swing

    Examples:
      | kind                      | verb     |
      | the load of two steps ago | does     |
      | a random load             | does not |
