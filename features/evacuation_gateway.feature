Feature: Gateways send nothing to the servers of an evacuated data centre

  Servers s-1 and s-2 are in data centre dc-a, s-3 and s-4 in dc-b. Evacuations
  take effect within 5 s.

  Scenario: Callers are served by the other data centre, and by both after the return
    Given 2 gateways that follow evacuations before two data centres
    When "dc-a" is evacuated and all gateways know it
    And each gateway gets 20 reads and 10 posts
    Then all of them are served, none by "dc-a"
    And each gateway has logged the evacuation of "dc-a" with 2 servers once
    And each gateway's metrics show 1 evacuated data centre
    When "dc-a" is no longer evacuated and all gateways know it
    And what was reported of "dc-b" is outdated
    And each gateway gets 12 posts together
    Then all of them are served, some by "dc-a"
    And each gateway has logged the return of "dc-a"

  Scenario: Evacuated servers get no probes
    Given 1 gateways that follow evacuations before two data centres
    When "dc-a" is evacuated and all gateways know it
    And the probes under way have ended
    And each gateway gets 20 reads and 10 posts
    Then no server of "dc-a" was probed meanwhile

  Scenario: Requests in flight end normally
    Given 1 gateways that follow evacuations before two data centres
    And each server takes 0.4 s for a request
    When 8 posts run at the servers
    And "dc-a" is evacuated without a moment's delay
    Then the posts in flight are all answered by the servers that ran them

  Scenario: Where all servers are evacuated callers get 503 at once and nothing runs
    Given 1 gateways that follow evacuations before two data centres
    When "dc-a" is evacuated and all gateways know it
    And "dc-b" is evacuated and all gateways know it
    And each gateway gets 3 reads and 3 posts
    Then all of them are rejected as not run within 0.3 s, to return after 0.5 to 2 s
    And each rejection is logged with servers withheld as "evacuated"

  Scenario: Requests that wait as the last servers are evacuated get 503 at once
    Given 1 gateways that follow evacuations before two data centres
    And each server takes 0.4 s for a request and has 1 slot
    When 8 posts run or wait
    And both data centres are evacuated without a moment's delay
    Then the posts that waited are rejected as not run, and the others answered

  Scenario: A slot that frees at an evacuated server goes to nobody who waits
    Given 1 gateways that follow evacuations before two data centres
    And each server takes 0.3 s for a request and has 1 slot
    When 4 posts run at the servers and 4 reads wait
    And "dc-a" is evacuated without a moment's delay
    Then the posts in flight are all answered by the servers that ran them
    And no read that waited was run by "dc-a"

  Scenario Outline: A request that was placed before the evacuation is placed anew
    Given 1 gateways that follow evacuations before two data centres
    When "dc-a" is evacuated just after a <kind> was placed there
    Then it is served by "dc-b" and was never sent to "dc-a"

    Examples:
      | kind |
      | read |
      | post |

  Scenario: A retry goes to a server that is not evacuated
    Given 1 gateways that follow evacuations before two data centres
    And server "s-3" sheds every request
    When "dc-a" is evacuated and all gateways know it
    And each gateway gets 20 reads and 10 posts
    Then none of them is run by "dc-a"

  Scenario: A request that is passed on is not sent to an evacuated server either
    Given 2 gateways that follow evacuations before two data centres, and 1 that doesn't
    When "dc-a" is evacuated and all gateways know it
    And gateway 1 loses its links to all servers
    And each gateway that follows gets 20 reads and 10 posts
    Then none of them is run by "dc-a"
    And gateway 1 has passed requests on, to gateway 2 only

  Scenario: A VM that the store refuses learns of evacuations from another VM
    Given 2 gateways that follow evacuations before two data centres
    When the store refuses gateway 2
    And "dc-a" is evacuated and all gateways know it
    And "dc-a" is no longer evacuated and all gateways know it
    Then gateway 2 has not read the store meanwhile

  Scenario: A store whose whole state takes longer to read than the bound hides no evacuation
    Given 2 gateways that follow evacuations before two data centres
    When no read of the whole state ends any more
    And "dc-a" is evacuated and all gateways know it
    And "dc-a" is no longer evacuated and all gateways know it
    Then each gateway has read the evacuations alone at most once a second

  Scenario: Confirmations of a VM that tells no evacuations hide none
    Given 1 gateways that follow evacuations before two data centres, and 2 that don't
    When "dc-a" is evacuated and all gateways know it
    And "dc-a" is no longer evacuated and all gateways know it
    Then nothing is evacuated at the gateways that don't follow

  Scenario: A VM that starts among others that tell no evacuations sends nothing there
    Given 0 gateways that follow evacuations before two data centres, and 2 that don't
    When "dc-a" is evacuated in the store
    And a gateway that follows evacuations starts and gets posts from the first moment on
    Then none of them is run by "dc-a"
    And some of them are served

  Scenario: What is held stays in force while the store is away
    Given 2 gateways that follow evacuations before two data centres
    When "dc-a" is evacuated and all gateways know it
    And no gateway gets a reply of the store for 6 s
    And each gateway gets 20 reads and 10 posts
    Then all of them are served, none by "dc-a"

  Scenario: A VM that resumes from a pause waits for what the store holds
    Given 1 gateways that follow evacuations before two data centres
    When the store is silent, and the gateway resumes from a pause of 100 s
    And each gateway gets 3 reads and 3 posts
    Then all of them are rejected as not run within 0.3 s, to return after 0.05 to 1 s
    When a read of the store has failed
    And each gateway gets 3 reads and 3 posts
    Then all of them are served, some by "dc-a"
