Feature: Callers' requests through a gateway

  Background:
    Given a platform with servers "s-1" and "s-2" and a gateway

  Scenario: A response is forwarded complete, with its server's signature
    When a caller reads
    Then it gets 200 with the body "answer" and the server's signature
    And the server got the caller's id, the remaining time and its own name

  Scenario: A body reaches the server unchanged
    When a caller posts the body "ledger entry"
    Then the server ran it once with the body "ledger entry"

  Scenario: A chunked body is forwarded complete
    When a caller posts "ledger" and " entry" in chunks
    Then the server ran it once with the body "ledger entry"

  Scenario: A request without a matching route gets 404
    When a caller requests "/nowhere/1"
    Then it gets 404 and no server got a request

  Scenario: Pipelined requests get their responses in order
    Given server "s-1" takes 0.2 s and "s-2" takes 0.01 s
    When a caller sends 6 reads at once on one connection
    Then the responses come in the order of the requests
    And they took less than 6 times as long as one

  Scenario: A pipelined non-idempotent request waits for the responses before it
    Given server "s-1" takes 0.1 s and "s-2" takes 0.1 s
    When a caller sends a read and a post at once on one connection
    Then the post reaches its server after the response to the read

  Scenario Outline: An offer of another protocol is not taken up, and answered once
    When a caller <asks>, offering "<protocol>", and again on its connection, <sent>
    Then each gets 200 with the body "answer"
    And its connection has brought nothing else
    And each of its requests ran once

    Examples:
      | asks  | protocol  | sent             |
      | reads | h2c       | after the answer |
      | posts | h2c       | after the answer |
      | reads | websocket | at once          |
      | posts | h2c       | at once          |
      | posts | h2c       | byte by byte     |

  Scenario Outline: A non-idempotent request is never run twice
    Given every request meets the fault "<fault>"
    When a caller posts with a timeout of 0.6 s
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
      | FALSE_UNAVAILABLE    | 502         |
      | FALSE_TOO_MANY    | 502         |
      | FALSE_TIMEOUT    | 502         |

  Scenario Outline: An idempotent request is retried at another server
    Given the first request meets the fault "<fault>"
    And the gateway has retry budget
    When a caller reads
    Then it gets 200 with the body "answer" and the server's signature

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

  Scenario Outline: Responses to other requests and bodies without a length are handled
    Given the first request meets the fault "<fault>"
    When a caller reads 3 times on one connection
    Then each gets 200 with the body "answer"

    Examples:
      | fault    |
      | EXTRA    |
      | STALE    |
      | UNFRAMED |

  Scenario: A caller whose request was shed may come back while it can be in time
    Given every request meets the fault "SHED"
    When a caller posts with a timeout of 0.6 s
    Then it gets a status of 503
    And it is told to retry within 0.15 s

  Scenario: Without probe budget requests go to servers that may be free
    Given the gateway may not probe
    When a caller reads
    Then it gets 200 with the body "answer" and the server's signature
    And no server was probed

  Scenario: Without retry budget an idempotent request is not retried
    Given the first request meets the fault "LOST"
    When a caller reads
    Then it gets a status of 502
    And the servers got 1 request

  Scenario: A hedged request waits until the retry budget allows it
    Given the first request meets the fault "MUTE"
    And the gateway has retry budget after 0.6 s
    When a caller reads with a timeout of 3 s on a route with a timeout of 2 s
    Then it gets 200 with the body "answer" and the server's signature

  Scenario: A request makes no more attempts than its route allows
    Given every request meets the fault "LOST"
    And the gateway has retry budget
    When a caller reads
    Then it gets a status of 502
    And the servers got 2 requests

  Scenario: A server that never responds costs at most the route's timeout
    Given every request meets the fault "MUTE"
    When a caller posts with a timeout of 9 s on a route with a timeout of 0.3 s
    Then it gets a status of 504
    And the response comes after about 0.3 s

  Scenario: The server's work is cancelled when the caller disconnects
    Given server "s-1" takes 5 s and "s-2" takes 5 s
    When a caller posts and disconnects after 0.1 s
    Then the server's work is cancelled within a second

  Scenario: A request that its server timed out is not reported as not run
    Given server "s-1" takes 5 s and "s-2" takes 5 s
    When 20 callers post with a timeout of 0.2 s
    Then no request that ran gets 503, 429, 408 or 421

  Scenario Outline: Requests that a stall of the VM holds up are served by the idle servers
    When 10 callers read and the process stands still for <stall> s after <delay> s
    Then each of them gets 200

    Examples:
      | stall | delay |
      | 0.15  | 0.004 |
      | 0.15  | 0.005 |
      | 0.15  | 0.006 |
      | 0.25  | 0.005 |

  Scenario: A leaving server gets no requests
    When "s-1" is leaving and the gateway has noticed
    And a caller reads 10 times
    Then "s-1" got no request

  Scenario: Requests to a pool without servers are rejected at once
    When all servers are removed and the gateway has noticed
    And a caller reads
    Then it gets a status of 503 with a Retry-After header
    And the response comes after about 0 s

  Scenario: An address that another server took over gets no requests
    Given "s-1" gives its name as "other" when probed
    When a caller reads 5 times
    Then "s-1" got no request

  Scenario: A server that reports itself unhealthy gets fewer requests
    Given server "s-1" takes 0.16 s and "s-2" takes 0.16 s
    And "s-1" reports itself unhealthy
    When a caller reads 6 times
    Then "s-2" got more requests than "s-1"

  Scenario: A server on a slow VM gets fewer requests than one on a fast VM
    Given server "s-1" takes 0.16 s and "s-2" takes 0.16 s
    And the VM of "s-1" is 4 times slower
    When a caller reads 6 times
    Then "s-2" got more requests than "s-1"

  Scenario: A failing server that reports itself healthy is detected
    Given server "s-1" takes 0.1 s and "s-2" takes 0.1 s
    And requests at "s-1" meet the fault "ERROR"
    And the gateway has retry budget
    When a caller reads 12 times
    Then "s-2" got more requests than "s-1"

  Scenario Outline: A malformed request gets an error and its connection is closed
    When a caller sends the bytes "<bytes>"
    Then it gets a status of <status>
    And its connection is closed

    Examples:
      | bytes                                                                        | status |
      | nonsense\r\n\r\n                                                             | 400    |
      | GET /reads/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n | 400 |
      | POST /posts/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | GET /reads/1 HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n                | 400    |

  Scenario: A request head that is too large gets 431
    When a caller sends a head of 40000 bytes
    Then it gets a status of 431

  Scenario: A large body that arrives together with its head does not count as head
    When a caller posts 60000 bytes at once
    Then the server ran it once with 60000 bytes

  Scenario: The log describes a failed request
    Given every request meets the fault "LOST"
    When a caller posts with a timeout of 0.6 s
    Then the request's log line has its server, the outcome "unknown" and the reason

  Scenario: The metrics count requests and their latencies
    When a caller reads 3 times
    Then the metrics show 3 answered requests of route "reads"

  Scenario: Changed settings do not refund used retry budget
    Given the gateway has retry budget
    When 3 withdrawals from the retry budget are made and the settings change
    Then 3 withdrawals are still counted

  Scenario: A full log pipe does not block the process
    Given a log that writes to an unread pipe
    When 20000 lines are written to it
    Then some lines were dropped and counted, and no write blocked

  Scenario: A slow body may take longer than the head timeout
    When a caller sends a body of 8 bytes, one every 0.5 s, with a head timeout of 3 s
    Then the server ran it once with 8 bytes

  Scenario: A request head that stays incomplete gets 408
    When a caller sends half of a head and waits
    Then it gets a status of 408

  Scenario: An unexpected exception fails one request and is logged
    Given probing servers raises an unexpected exception
    When a caller reads
    Then it gets a status of 500
    And the log reports the exception
    When probing works again and a caller reads
    Then it gets 200 with the body "answer" and the server's signature

  Scenario: A background task that fails is restarted
    Given reading the store raises an unexpected exception once
    When the operator's document changes
    Then the gateway applies it
    And the log reports the exception

  Scenario: Many VMs that start or stop at once take one log line
    When messages of 60 other VMs arrive at once
    Then the log has one line for 60 VMs with event 740 that names 40
    When all of them are declared dead
    Then the log has one line for 60 VMs with event 741 that names 40

  Scenario: A look-up returns the large VMs of a fleet of different sizes
    Given the gateway has a capacity of 239 requests per second
    And it hears 5 VMs with a capacity of 239 requests per second and 20 with 50
    When a caller looks up where to connect
    Then it gets 6 addresses, the gateway's among them
    And the log has 1 line about look-ups, with 6 VMs of 26 in all
    When a caller looks up where to connect
    Then the log has 1 line about look-ups, with 6 VMs of 26 in all

  Scenario: Requests that wait to be accepted when a planned stop ends listening are served
    Given the gateway has 5 s for a planned stop
    When it stops, and 8 callers connect and send while its loop is held up
    Then each of them gets 200

  Scenario: A caller that has just connected when a planned stop ends listening is served
    Given the gateway has 5 s for a planned stop
    When it stops, and 10 callers that have just connected send 0.1 s later
    Then each of them gets 200

  Scenario: Listening ends also when no file descriptor is left
    Given 10 callers have got a response
    When listening ends while the process may open no more files
    Then no caller can connect

  Scenario Outline: A request that arrives just before its idle connection is closed is served
    Given 10 callers <have connected>
    When each of them sends a request and idle connections are closed at once
    Then each of them gets 200

    Examples:
      | have connected                         |
      | have got a response                    |
      | have connected a second ago, sent none |
      | have connected, not accepted yet       |
