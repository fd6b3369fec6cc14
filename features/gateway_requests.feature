Feature: Callers' requests through a gateway

  Background:
    Given a platform with servers "s-1" and "s-2" and a gateway

  Scenario: An answer is passed on whole, with its server's mark
    When a caller reads
    Then it gets 200 with the body "answer" and the server's mark
    And the server got the caller's id, what is left of the time and its own name

  Scenario: A body reaches the server unchanged
    When a caller posts the body "ledger entry"
    Then the server ran it once with the body "ledger entry"

  Scenario: Chunked bodies are sent on whole
    When a caller posts "ledger" and " entry" in chunks
    Then the server ran it once with the body "ledger entry"

  Scenario: A route that nobody configured
    When a caller asks for "/nowhere/1"
    Then it gets 404 and no server got anything

  Scenario: Pipelined requests are answered in their order
    Given server "s-1" takes 0.2 s and "s-2" takes 0.01 s
    When a caller sends 6 reads at once on one connection
    Then the answers come in the order of the requests
    And they took less than 6 times as long as one

  Scenario: A non-idempotent request waits until those before it are answered
    Given server "s-1" takes 0.1 s and "s-2" takes 0.1 s
    When a caller sends a read and a post at once on one connection
    Then the post reaches its server after the read is answered

  Scenario Outline: A non-idempotent request is never run twice
    Given every request meets the fault "<fault>"
    When a caller posts with 0.6 s to wait
    Then it was run at most once
    And it gets a status of <statuses>

    Examples:
      | fault        | statuses    |
      | MUTE         | 504         |
      | LOST         | 502         |
      | SHORT        | 502         |
      | UNFRAMED_CUT | 502         |
      | GIBBERISH    | 502         |
      | UNSIGNED     | 502         |
      | ENCODED      | 502         |
      | ERROR        | 500         |
      | SHED         | 503         |
      | REPLACED     | 503         |

  Scenario Outline: An idempotent request is sent to another server
    Given the first request meets the fault "<fault>"
    And the gateway has second sends to spend
    When a caller reads
    Then it gets 200 with the body "answer" and the server's mark

    Examples:
      | fault        |
      | LOST         |
      | SHORT        |
      | UNFRAMED_CUT |
      | GIBBERISH    |
      | UNSIGNED     |
      | ENCODED      |
      | ERROR        |
      | SHED         |
      | REPLACED     |
      | MUTE         |

  Scenario Outline: Answers of others and bodies without length
    Given the first request meets the fault "<fault>"
    When a caller reads 3 times on one connection
    Then each gets 200 with the body "answer"

    Examples:
      | fault    |
      | EXTRA    |
      | STALE    |
      | UNFRAMED |

  Scenario: Without second sends to spend an idempotent request is not repeated
    Given the first request meets the fault "LOST"
    When a caller reads
    Then it gets a status of 502
    And the servers got 1 request

  Scenario: A second send that is not allowed at first is made once it is
    Given the first request meets the fault "MUTE"
    And the gateway has second sends to spend after 0.6 s
    When a caller reads with 3 s to wait on a route of 2 s
    Then it gets 200 with the body "answer" and the server's mark

  Scenario: No more servers than the route allows
    Given every request meets the fault "LOST"
    And the gateway has second sends to spend
    When a caller reads
    Then it gets a status of 502
    And the servers got 2 requests

  Scenario: A mute server costs no more than the route's time
    Given every request meets the fault "MUTE"
    When a caller posts with 9 s to wait on a route of 0.3 s
    Then it gets a status of 504
    And the answer came after about 0.3 s

  Scenario: The work ends when the caller leaves
    Given server "s-1" takes 5 s and "s-2" takes 5 s
    When a caller posts and leaves after 0.1 s
    Then the server's work ends within a second

  Scenario: A request that was timed out by its server is not said not to have run
    Given server "s-1" takes 5 s and "s-2" takes 5 s
    When 20 callers post with 0.2 s to wait
    Then none that was run gets 503, 429, 408 or 421

  Scenario: No request goes to a server that is leaving
    When "s-1" says that it is leaving and the gateway has heard of it
    And a caller reads 10 times
    Then "s-1" got no request

  Scenario: A pool without servers refuses at once
    When all servers are gone and the gateway has heard of it
    And a caller reads
    Then it gets a status of 503 with a time to come back
    And the answer came after about 0 s

  Scenario: An address that another server has now is left alone
    Given "s-1" names itself "other" when it is asked
    When a caller reads 5 times
    Then "s-1" got no request

  Scenario: A server that says that it is ill is a second choice
    Given server "s-1" takes 0.16 s and "s-2" takes 0.16 s
    And "s-1" says that it is ill
    When a caller reads 6 times
    Then "s-2" got more requests than "s-1"

  Scenario: A server on a slow VM is left alone while another is not
    Given server "s-1" takes 0.16 s and "s-2" takes 0.16 s
    And the VM of "s-1" is 4 times slower
    When a caller reads 6 times
    Then "s-2" got more requests than "s-1"

  Scenario: Servers whose health lies are found out
    Given server "s-1" takes 0.1 s and "s-2" takes 0.1 s
    And requests at "s-1" meet the fault "ERROR"
    And the gateway has second sends to spend
    When a caller reads 12 times
    Then "s-2" got more requests than "s-1"

  Scenario Outline: What is no request is answered and the connection closed
    When a caller sends the bytes "<bytes>"
    Then it gets a status of <status>
    And its connection is closed

    Examples:
      | bytes                                                                        | status |
      | nonsense\r\n\r\n                                                             | 400    |
      | GET /reads/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n | 400 |
      | POST /posts/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | GET /reads/1 HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n                | 400    |

  Scenario: A head that is too large
    When a caller sends a head of 40000 bytes
    Then it gets a status of 431

  Scenario: A large body in one piece with its head is no large head
    When a caller posts 60000 bytes at once
    Then the server ran it once with 60000 bytes

  Scenario: The log tells the way of a failed request
    Given every request meets the fault "LOST"
    When a caller posts with 0.6 s to wait
    Then the log's line of the request names its server, its outcome "unknown" and why

  Scenario: The metrics count requests and how long they took
    When a caller reads 3 times
    Then the metrics show 3 answered requests of route "reads"

  Scenario: Changed settings give back no second send that was spent
    Given the gateway has second sends to spend
    When 3 second sends are spent and the settings change
    Then 3 second sends count as spent

  Scenario: A full pipe holds nothing up
    Given a log whose pipe nobody reads
    When 20000 lines are written to it
    Then some were dropped and counted, and none waited

  Scenario: A slow body is waited for as long as it goes on
    When a caller sends a body of 8 bytes, one each 0.5 s, with 3 s for a head
    Then the server ran it once with 8 bytes

  Scenario: A head that does not end is given up
    When a caller sends half of a head and waits
    Then it gets a status of 408

  Scenario: A fault of ours ends one request and is logged
    Given asking servers fails with a fault of the program
    When a caller reads
    Then it gets a status of 500
    And the log tells of the fault
    When the fault is mended and a caller reads
    Then it gets 200 with the body "answer" and the server's mark

  Scenario: A part that fails goes on
    Given reading the store fails with a fault of the program once
    When the operator's document changes
    Then the gateway has it in force
    And the log tells of the fault

  Scenario: Heartbeats of many VMs that start or stop at once take one log line
    When heartbeats of 60 other VMs arrive at once
    Then the log has one line for 60 VMs with event 740 that names 40
    When the heartbeats of all of them stop
    Then the log has one line for 60 VMs with event 741 that names 40

  Scenario: A look-up returns the large VMs of a fleet of different sizes
    Given the gateway has a capacity of 239 requests per second
    And it has heartbeats of 5 VMs with a capacity of 239 requests per second and 20 with 50
    When a caller looks up where to connect
    Then it gets 6 addresses, the gateway's among them
