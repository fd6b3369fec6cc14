Feature: What a backend server says of the requests that it wants

  Scenario Outline: A limit is read only where it is a decimal number
    When a response states "Server-Limit" as "<text>"
    Then its limit is <limit> and the unreadable fields are "<unreadable>"

    Examples:
      | text                | limit | unreadable |
      | 1.9                 | 1.9   |            |
      | 0                   | 0     |            |
      | 25                  | 25    |            |
      | nan                 | none  | limit      |
      | inf                 | none  | limit      |
      | 1e309               | none  | limit      |
      | -1                  | none  | limit      |
      | 1,9                 | none  | limit      |
      | 1_0                 | none  | limit      |
      | ١                   | none  | limit      |
      | 9999999999999999999 | none  | limit      |
      | many                | none  | limit      |

  Scenario: A limit that is empty, stated twice or 10 kB long is not read
    When a response states "Server-Limit" as ""
    Then its limit is none and the unreadable fields are "limit"
    When a response states "Server-Limit" twice, as "2" and "3"
    Then its limit is none and the unreadable fields are "limit"
    When a response states "Server-Limit" with 10000 digits
    Then its limit is none and the unreadable fields are "limit"

  Scenario Outline: Only a rejection with status 503 asks for a pause
    When a response with status <status> states "Retry-After" as "<text>"
    Then it asks for a pause of <seconds> s

    Examples:
      | status | text                          | seconds |
      | 503    | 0.5                           | 0.5     |
      | 503    | 3                             | 3       |
      | 503    | 100000                        | 60      |
      | 503    | -2                            | 0       |
      | 503    | Wed, 21 Oct 2026 07:28:00 GMT | 0       |
      | 200    | 3                             | 0       |
      | 429    | 3                             | 0       |

  Scenario: Random texts never raise an exception
    When 20000 responses with random statements are decoded, with seed 1
    Then each limit and pause is a finite number that is not negative

  Scenario: A limit, a pause and the leaving of a server are logged and counted
    Given a platform with servers "s-1" and "s-2" and a gateway
    And server "s-1" names a limit of "1.9" and "s-2" says that it leaves
    When a caller reads 20 times
    Then event 731 tells that "s-1" has the limit 1.9
    And event 731 tells that "s-2" leaves
    And the metrics count "server_statement"

  Scenario: A statement without meaning is logged once and counted each time
    Given a platform with servers "s-1" and "s-2" and a gateway
    And each server names a limit of "nan"
    When a caller reads 20 times
    Then event 732 was logged once and counted more often
    And each read got 200
