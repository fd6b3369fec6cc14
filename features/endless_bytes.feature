Feature: Bytes that never end, from a server or a caller

  Background:
    Given a platform with servers "s-1" and "s-2" and a gateway

  Scenario Outline: A response without an end takes no memory and ends as unknown
    Given every request meets the fault "<fault>"
    When 5 callers post at once with a timeout of 1.5 s
    Then each was answered with <statuses> within 2 s
    And the process took at most 100 MB more memory
    And no connection to a server that sends without end is open

    Examples:
      | fault           | statuses |
      | ENDLESS_HEAD    | 502      |
      | ENDLESS_LINE    | 502      |
      | ENDLESS_INTERIM | 502      |
      | ENDLESS_BODY    | 502      |
      | TRICKLED_BODY   | 504      |

  Scenario: An idempotent request finds another server
    Given requests at "s-1" meet the fault "ENDLESS_HEAD"
    And the gateway has retry budget
    When a caller reads 5 times
    Then each read got 200

  Scenario Outline: A caller that sends without end is answered and cut off
    When a caller sends <part> without end
    Then it is answered with <status> and the connection is closed

    Examples:
      | part               | status |
      | a request line     | 431    |
      | header fields      | 431    |
      | a chunked body     | 413    |
      | a chunk extension  | 413    |

  Scenario: A caller reads why its body was refused, and no reset, after it has sent more of it
    When a caller declares a body of 100 MB, sends 2 MB of it and only then reads
    Then it reads 413

  Scenario: Bodies of many callers together stay within the bound of the process
    Given the process may hold 6 MB of bodies that are being received
    When 8 callers each send 1 MB of a body of 2 MB and wait
    Then at least 2 of them are told to come back, and nothing has run
    When the others send the rest of their bodies
    Then at least 4 get 200 and the rest are told to come back
    And no byte is counted as held any more
