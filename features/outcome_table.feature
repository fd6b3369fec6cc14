Feature: the outcome table
  Each row is brought about at servers that count executions. "Not run" is said
  only where no byte can have reached a server or the server says so itself.

  Scenario Outline: <event> when <phase>
    Given an entry before <servers> scripted servers
    When a posting meets "<fault>"
    Then the row "<phase>" and "<event>" was reached
    And the posting's outcome is "<outcome>" with code "<code>"
    And the posting ran <least> to <most> times

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

  Scenario Outline: an idempotent request is answered in spite of <fault>
    Given an entry before 2 scripted servers
    When a reading meets "<fault>" once
    Then the reading is answered with its own token

    Examples:
      | fault                   |
      | a cut before the answer |
      | garbage for an answer   |
      | shedding                |

  Scenario: a later refusal does not make an earlier try "not run"
    Given an entry before 2 scripted servers
    When a reading is cut at one server and refused by the other
    Then the reading's outcome is "unknown" with code "connection-lost"
