Feature: the outcome table
  Each row is reproduced with servers that count executions. The outcome "not
  run" is reported only if no byte can have reached a server, or if the server
  reports it itself.

  Scenario Outline: <event> when <phase>
    Given an entry in front of <servers> scripted servers
    When a POST request encounters "<fault>"
    Then the exchange ended in phase "<phase>" with event "<event>"
    And the POST request's outcome is "<outcome>" with code "<code>"
    And the POST request ran <least> to <most> times

    Examples:
      | phase        | event           | fault                        | servers | outcome | code             | least | most |
      | not-sent     | connect-failed  | refused connections          | 2       | not-run | no-server        | 0     | 0    |
      | not-sent     | connection-lost | connections closed at once   | 2       | not-run | no-server        | 0     | 0    |
      | not-sent     | deadline-passed | connections never opened     | 1       | not-run | deadline-not-run | 0     | 0    |
      | sent-part    | connection-lost | a cut upload                 | 2       | unknown | connection-lost  | 0     | 0    |
      | sent-part    | deadline-passed | an upload past the deadline  | 2       | unknown | deadline-passed  | 0     | 0    |
      | sent-part    | bad-answer      | garbage during the upload    | 2       | unknown | bad-answer       | 0     | 0    |
      | sent-part    | request-broken  | a bad chunk in the upload    | 2       | unknown | body-broken      | 0     | 0    |
      | sent-part    | server-shed     | shedding during the upload   | 1       | not-run | server-shed      | 0     | 0    |
      | sent-whole   | connection-lost | a cut before the answer      | 2       | unknown | connection-lost  | 1     | 1    |
      | sent-whole   | deadline-passed | a lost answer                | 2       | unknown | deadline-passed  | 1     | 1    |
      | sent-whole   | bad-answer      | garbage for an answer        | 2       | unknown | bad-answer       | 1     | 1    |
      | sent-whole   | server-shed     | shedding                     | 2       | not-run | server-shed      | 0     | 0    |
      | answer-begun | connection-lost | a cut answer                 | 2       | cut     |                  | 1     | 1    |
      | answer-begun | deadline-passed | an answer past the deadline  | 2       | cut     |                  | 1     | 1    |
      | answer-begun | bad-answer      | a bad chunk in the answer    | 2       | cut     |                  | 1     | 1    |

  Scenario: the examples above cover the table
    Then every row of the outcome table has an example
    And the table in "docs/OUTCOMES.md" is the one in the code

  Scenario Outline: an idempotent request is answered despite <fault>
    Given an entry in front of 2 scripted servers
    When a GET request encounters "<fault>" once
    Then the GET request is answered with its own token

    Examples:
      | fault                   |
      | a cut before the answer |
      | garbage for an answer   |
      | shedding                |

  Scenario: a later refusal does not change the outcome of an earlier attempt to "not run"
    Given an entry in front of 2 scripted servers
    When a GET request is cut at one server and refused by the other
    Then the GET request's outcome is "unknown" with code "connection-lost"
