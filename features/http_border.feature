Feature: HTTP/1.1 between callers and an entry
  Requests arrive at the backend server unchanged, and its answers arrive at the
  caller unchanged. A request that cannot be parsed is refused with a code and
  is not run.

  Background:
    Given an entry in front of a scripted backend server

  Scenario: one connection carries one request after another
    When the caller sends "GET /a HTTP/1.1|Host: x||"
    And the caller reads 1 answer
    And the caller sends "GET /b HTTP/1.1|Host: x||"
    And the caller reads 1 answer
    Then every answer has status 200 and body "ok"
    And the server saw the targets "/a /b"

  Scenario: pipelined requests are answered in their order
    When the caller sends "GET /a HTTP/1.1|Host: x||POST /b HTTP/1.1|Host: x|Content-Length: 3||abcGET /c HTTP/1.1|Host: x||"
    And the caller reads 3 answers
    Then every answer has status 200 and body "ok"
    And the server saw the targets "/a /b /c"
    And the server saw the bodies " abc "

  Scenario: a chunked body with extensions and trailers arrives whole
    When the caller sends "POST /a HTTP/1.1|Host: x|Trailer: Sum|Transfer-Encoding: chunked||3;q=1|abc|2|de|0|Sum: 5||"
    And the caller reads 1 answer
    Then every answer has status 200 and body "ok"
    And the server saw the bodies "abcde"
    When the caller sends "GET /b HTTP/1.1|Host: x||"
    And the caller reads 1 answer
    Then the server saw the targets "/a /b"

  Scenario Outline: a target is forwarded as the caller wrote it
    When the caller sends "GET <target> HTTP/1.1|Host: x||"
    And the caller reads 1 answer
    Then every answer has status 200 and body "ok"
    And the server saw the targets "<seen>"

    Examples:
      | target                  | seen               |
      | /a%2Fb%20c%7E/%C3%A9?d=%2f+e | /a%2Fb%20c%7E/%C3%A9?d=%2f+e |
      | /a/../b/./c             | /a/../b/./c        |
      | //a//b                  | //a//b             |
      | /a?b=c?d=[e]            | /a?b=c?d=[e]       |
      | http://y:81/a%2Fb?c     | /a%2Fb?c           |
      | HTTP://y                | /                  |

  Scenario: an absolute target replaces the Host header
    When the caller sends "GET http://y:81/a HTTP/1.1|Host: x||"
    And the caller reads 1 answer
    Then the server saw the header "Host: y:81"

  Scenario: hop-by-hop headers are not forwarded
    When the caller sends "GET /a HTTP/1.1|Host: x|Connection: keep-alive, X-Hop|X-Hop: 1|Keep-Alive: 5|TE: trailers|Upgrade: h2c|X-End: 1||"
    And the caller reads 1 answer
    Then every answer has status 200 and body "ok"
    And the server saw the header "X-End: 1"
    And the server did not see "X-Hop"
    And the server did not see "Keep-Alive"
    And the server did not see "Upgrade"

  Scenario: an answer keeps its headers and the entry adds none
    Given the server answers "HTTP/1.1 201 Made|Set-Cookie: a=1|Set-Cookie: b=2|Date: Thu, 01 Jan 2026 00:00:00 GMT|X-Text: \xe9t\xe9|Connection: X-Hop|X-Hop: 1|Content-Length: 2||ok"
    When the caller sends "GET /a HTTP/1.1|Host: x||"
    And the caller reads 1 answer
    Then every answer has status 201 and body "ok"
    And the answer's "Set-Cookie" is "a=1, b=2"
    And the answer's "Date" is "Thu, 01 Jan 2026 00:00:00 GMT"
    And the answer's "X-Text" is "\xe9t\xe9"
    And the answer has no "Content-Type"
    And the answer has no "Server"
    And the answer has no "X-Hop"

  Scenario: header bytes that are not UTF-8 arrive at the server
    When the caller sends "GET /a HTTP/1.1|Host: x|X-Text: \xe9t\xe9||"
    And the caller reads 1 answer
    Then the server saw the header "X-Text: \xe9t\xe9"

  Scenario: a compressed body is forwarded without decompression
    Given the server answers "HTTP/1.1 200 OK|Content-Encoding: gzip|Content-Length: 3||\x1f\x8b\x00"
    When the caller sends "GET /a HTTP/1.1|Host: x||"
    And the caller reads 1 answer
    Then every answer has status 200 and body "\x1f\x8b\x00"

  Scenario: a redirect is forwarded and not followed
    Given the server answers "HTTP/1.1 302 Found|Location: /b|Content-Length: 0||"
    When the caller sends "GET /a HTTP/1.1|Host: x||"
    And the caller reads 1 answer
    Then every answer has status 302 and body ""
    And the server saw the targets "/a"

  Scenario: HEAD has the length of GET and no body
    Given the server answers "HTTP/1.1 200 OK|Content-Length: 77||"
    When the caller sends "HEAD /a HTTP/1.1|Host: x||"
    And the caller reads 1 answer without a body
    Then the answer's "Content-Length" is "77"
    When the caller sends "HEAD /b HTTP/1.1|Host: x||"
    And the caller reads 1 answer without a body
    Then the server saw the targets "/a /b"
    And the server has 1 open connection

  Scenario Outline: an answer that has no body by its status
    Given the server answers "HTTP/1.1 <status>|ETag: 7|<framing>||"
    When the caller sends "GET /a HTTP/1.1|Host: x||GET /b HTTP/1.1|Host: x||"
    And the caller reads 2 answers without a body
    Then the answer's "ETag" is "7"
    And the answer has no "Transfer-Encoding"
    And the answer has no "Content-Type"
    And the server saw the targets "/a /b"

    Examples:
      | status           | framing            |
      | 204 No Content   | X-A: 1             |
      | 304 Not Modified | X-A: 1             |
      | 304 Not Modified | Content-Length: 77 |

  Scenario: interim answers of the server are not taken as the final answer
    Given the server answers "HTTP/1.1 100 Continue||HTTP/1.1 103 Early Hints|Link: a||HTTP/1.1 200 OK|Content-Length: 2||ok"
    When the caller sends "GET /a HTTP/1.1|Host: x||"
    And the caller reads 1 answer
    Then every answer has status 200 and body "ok"

  Scenario: an answer that ends with its connection gets no other framing
    Given the server answers "HTTP/1.1 200 OK||all of it"
    And the server closes after its answer
    When the caller sends "GET /a HTTP/1.1|Host: x||"
    And the caller reads 1 answer
    Then every answer has status 200 and body "all of it"
    And the answer has no "Transfer-Encoding"
    And the answer has no "Content-Length"
    And the caller's connection is closed

  Scenario: a caller of HTTP/1.0 gets an answer that ends with its connection
    Given the server answers "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|ok|0||"
    When the caller sends "GET /a HTTP/1.0|Host: x||"
    And the caller reads 1 answer
    Then every answer has status 200 and body "ok"
    And the answer has no "Transfer-Encoding"
    And the caller's connection is closed

  Scenario: a caller of HTTP/1.0 may keep its connection
    When the caller sends "GET /a HTTP/1.0|Host: x|Connection: keep-alive||"
    And the caller reads 1 answer
    And the caller sends "GET /b HTTP/1.0|Host: x||"
    And the caller reads 1 answer
    Then the server saw the targets "/a /b"
    And the caller's connection is closed

  Scenario: a truncated answer does not look complete to an HTTP/1.0 caller
    Given the server answers "HTTP/1.1 200 OK|Content-Length: 9||ok"
    And the server closes after its answer
    When the caller sends "GET /a HTTP/1.0|Host: x||"
    Then the caller's connection is reset before 9 bytes of body

  Scenario: 100 Continue is sent only once the server takes the request
    When the caller sends "POST /a HTTP/1.1|Host: x|Expect: 100-continue|Content-Length: 3||"
    And the caller reads 1 answer
    Then every answer has status 100 and body ""
    And the server saw the targets "/a"
    When the caller sends "abc"
    And the caller reads 1 answer
    Then the answer has status 200 and body "ok"
    And the server saw the bodies "abc"
    And the server did not see "Expect"

  Scenario: no 100 Continue before a rejection
    When the caller sends "POST /nowhere/else HTTP/1.1|Host: no.route|Expect: 100-continue|Content-Length: 3||"
    And the caller reads 1 answer
    Then the answer is a rejection with status 404 and code "no-route", not run
    And the answer's "Connection" is "close"

  Scenario: a server refuses an upload before it has read the body
    Given the server answers "HTTP/1.1 413 Too Large|Connection: close|Content-Length: 2||no"
    And the server answers before it reads the body and closes
    When the caller sends "POST /a HTTP/1.1|Host: x|Content-Length: 50000000||"
    And the caller sends 1000000 bytes of body
    And the caller reads 1 answer
    Then every answer has status 413 and body "no"

  Scenario: a server that answers early still gets the whole body
    Given the server answers "HTTP/1.1 200 OK|Content-Length: 4||"
    And the server answers before it reads the body
    When the caller sends "POST /a HTTP/1.1|Host: x|Content-Length: 1000000||"
    And the caller reads the head of an answer
    And the caller sends 1000000 bytes of body
    Then the server has received 1000000 bytes of body

  Scenario: a caller that disconnects cancels its request
    Given the server never answers
    When the caller sends "GET /a HTTP/1.1|Host: x||"
    And the server has received the request
    And the caller disconnects
    Then the connection to the server ends

  Scenario: a caller that disconnects during its upload
    When the caller sends "POST /a HTTP/1.1|Host: x|Content-Length: 1000000||abc"
    And the server has received the request
    And the caller disconnects
    Then the connection to the server ends

  Scenario: a chunked body with a malformed chunk
    When the caller sends "POST /a HTTP/1.1|Host: x|Transfer-Encoding: chunked||3|abc|"
    And the server has received the request
    And the caller sends "zz|abc|0||"
    And the caller reads 1 answer
    Then the answer is a rejection with status 400 and code "body-broken", unknown
    And the connection to the server ends

  Scenario Outline: a malformed or unsupported request
    When the caller sends "<request>"
    And the caller reads 1 answer
    Then the answer is a rejection with status <status> and code "<code>", not run
    And the server saw the targets ""

    Examples:
      | request                                                                     | status | code        |
      | nonsense\|\|                                                                  | 400    | bad-request |
      | GET /a HTTP/1.1\|\|                                                           | 400    | bad-request |
      | GET /a HTTP/1.1\|Host: x\|Host: y\|\|                                           | 400    | bad-request |
      | GET /a HTTP/1.1\|Host : x\|\|                                                  | 400    | bad-request |
      | GET /a HTTP/1.1\|Host: x y\|\|                                                 | 400    | bad-request |
      | GET /a HTTP/1.1\|Host: x\|X-A: b\| folded\|\|                                   | 400    | bad-request |
      | GET /a HTTP/2.5\|Host: x\|\|                                                   | 400    | bad-request |
      | GET a HTTP/1.1\|Host: x\|\|                                                    | 400    | bad-request |
      | GET http:///a HTTP/1.1\|Host: x\|\|                                            | 400    | bad-request |
      | GET http://u@y/a HTTP/1.1\|Host: x\|\|                                         | 400    | bad-request |
      | CONNECT y:443 HTTP/1.1\|Host: y\|\|                                            | 501    | no-tunnel   |
      | POST /a HTTP/1.1\|Host: x\|Content-Length: 3\|Transfer-Encoding: chunked\|\|0\|\|  | 400    | bad-request |
      | POST /a HTTP/1.1\|Host: x\|Content-Length: 3\|Content-Length: 4\|\|abc           | 400    | bad-request |
      | POST /a HTTP/1.1\|Host: x\|Content-Length: +3\|\|abc                            | 400    | bad-request |
      | POST /a HTTP/1.1\|Host: x\|Transfer-Encoding: chunked, gzip\|\|0\|\|               | 400    | bad-request |
      | GET /a HTTP/1.1\|Host: x\|X-Request-Id: a b\|\|                                 | 400    | bad-request |
      | GET /a HTTP/1.1\|Host: x\|Zinniaturn-Deadline-Ms: 99999999999999999999\|\|       | 400    | bad-request |
      | GET /a HTTP/1.1\|Host: x\|Zinniaturn-Deadline-Ms: -1\|\|                        | 400    | bad-request |
      | GET /a HTTP/1.1\|Host: x\|Zinniaturn-Idempotent: maybe\|\|                      | 400    | bad-request |

  Scenario: a request with a length and chunked encoding cannot hide another
    When the caller sends "POST /a HTTP/1.1|Host: x|Content-Length: 3|Transfer-Encoding: chunked||0||GET /hidden HTTP/1.1|Host: x||"
    And the caller reads 1 answer
    Then the answer is a rejection with status 400 and code "bad-request", not run
    And the caller's connection is closed
    And the server saw the targets ""

  Scenario: a header of 100 kB
    When the caller sends a header of 100000 bytes
    And the caller reads 1 answer
    Then the answer is a rejection with status 431 and code "head-too-large", not run

  Scenario: a target of 100 kB
    When the caller sends a target of 100000 bytes
    And the caller reads 1 answer
    Then the answer is a rejection with status 431 and code "head-too-large", not run

  Scenario: a thousand headers
    When the caller sends 1000 headers
    And the caller reads 1 answer
    Then the answer is a rejection with status 431 and code "head-too-large", not run

  Scenario: a download of 1 GB to a slow caller at bounded memory
    Given the server streams 1073741824 bytes
    When the caller sends "GET /a HTTP/1.1|Host: x||"
    Then the caller reads all of it, at most 32 MB behind the server
    And memory has grown by less than 64 MB

  Scenario: an upload of 1 GB to a slow server at bounded memory
    When the caller uploads 1073741824 bytes while the server reads in steps
    Then the server was never more than 32 MB behind the caller
    And the answer has status 200 and body "ok"
    And memory has grown by less than 64 MB
