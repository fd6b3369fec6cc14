Feature: The account of what a process holds for its clients

  Scenario: A caller with a small request never gives way for a crowd with large ones
    Given an account of 1000 KB
    When 12 clients hold 100 KB each, stalled for 5 s, and one holds 10 KB since 9 s
    Then 3 large clients were refused and the small one was not

  Scenario: Of equal bodies the one without progress gives way, not one that drips a byte
    Given an account of 1000 KB
    When a client with 600 KB sends steadily and one with 300 KB drips one byte a second for 20 s
    And a third client begins to hold 200 KB
    Then the client that drips was refused

  Scenario: A request in work is not aborted for the sake of another
    Given an account of 1000 KB
    When 9 clients with 100 KB each have requests in work and one receives 200 KB
    Then only the client that receives was refused

  Scenario Outline: Choosing who gives way costs the same for any number of connections
    Given an account of 1000000 KB
    When <count> clients hold from 1 to 999 KB
    Then choosing the first to go weighs at most 40 of them

    Examples:
      | count |
      | 10    |
      | 10000 |

  Scenario: A full port closes a silent connection for a new one, not an idle caller
    Given an account of 1000 KB with 4 connections for callers
    When 2 idle callers and 2 silent clients are connected for 5 s and another one connects
    Then a silent client was closed and the new one stays

  Scenario: A full port whose connections all have requests in work takes no more
    Given an account of 1000 KB with 4 connections for callers
    When 4 clients have requests in work and another one connects
    Then the new one may not stay

  Scenario: Responses in part never keep each other waiting for room
    Given an account of 1000 KB
    When servers begin to send responses of 600, 500, 300 and 20 KB
    Then the responses of 500 and 300 KB wait and hold nothing
    When the response of 600 KB is complete
    Then no response waits

  Scenario: What came with a response's head is not counted twice, and one that leaves lets the next in
    Given an account of 1000 KB
    When servers begin to send responses of 600, 500, 300 and 20 KB
    And 100 KB of the response of 500 KB have come, and it is given up
    Then the account holds 900 KB
    When all responses are complete
    Then the account holds 0 KB

  Scenario: A body declared over the limit is refused on its head and takes no room
    When a reader with a limit of 100 bytes gets a head that declares 101
    Then it refuses with 413 and holds nothing

  Scenario: Many short requests that are answered at once don't keep the process from others
    When a connection gets 150 requests that are answered at once
    Then it starts one of them in each turn

  Scenario: A connection that gave up waiting for a slot takes none
    Given 1 slot for connections, in use
    When one waits for it in vain, another waits, and the slot is given back
    Then the second has the slot, and none is lost

  Scenario: The slots of idle connections go to new ones, whatever addresses have been used
    Given 1 slot for connections, in use by an idle connection, and addresses without any
    When a new connection needs a slot
    Then the idle connection is closed for it
