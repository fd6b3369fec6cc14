Feature: each caller gets the complete answer to its own request
  Servers answer late, too short, too long, twice and in pieces, on reused
  connections. Every answer carries a token that identifies its request.

  Scenario: generated sequences of answers on reused connections
    Given an entry in front of 2 servers with scripted answers
    Then no sequence of answers gives a caller a wrong or truncated answer

  Scenario Outline: <bytes> on an idle connection do not reach a caller
    Given an entry in front of 2 servers with scripted answers
    When a server sends <bytes> after an answer
    Then the next 5 callers get the answers to their own requests

    Examples:
      | bytes            |
      | stray bytes      |
      | half a head      |
      | a whole answer   |
      | a blank line     |

  Scenario Outline: an answer with <flaw> is refused
    Given an entry in front of 2 servers with scripted answers
    When a server answers with <flaw>
    Then the posting is refused as "unknown" with code "bad-answer"

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
