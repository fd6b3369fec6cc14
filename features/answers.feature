Feature: each caller gets the whole answer to its own request
  Servers answer late, short, too long, twice and in pieces, on connections that
  are used again. Every answer carries a token that proves whose it is.

  Scenario: any course of answers on reused connections
    Given an entry before 2 servers that play any answers
    Then no course of answers gives a caller a wrong or shortened answer

  Scenario Outline: <bytes> on an idle connection are read by no one
    Given an entry before 2 servers that play any answers
    When a server sends <bytes> after an answer
    Then the next 5 answers are each caller's own

    Examples:
      | bytes            |
      | stray bytes      |
      | half a head      |
      | a whole answer   |
      | a blank line     |

  Scenario Outline: an answer with <flaw> is refused
    Given an entry before 2 servers that play any answers
    When a server answers with <flaw>
    Then the posting is told "unknown" with code "bad-answer"

    Examples:
      | flaw                     |
      | both lengths             |
      | two lengths              |
      | a bad chunk size         |
      | another request's id     |
      | a control character      |
      | a switch of protocols    |
      | nine interim answers     |
      | a negative length        |
