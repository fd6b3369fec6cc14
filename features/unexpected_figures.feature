Feature: A figure that nobody expected costs no other request its answer

  Background:
    Given a platform with servers "s-1" and "s-2" and a gateway

  Scenario: A request that can't be logged is answered all the same
    Given the gateway fails to describe in its log how a request has ended
    When a caller reads
    Then it gets 200 with the body "answer" and the server's signature

  Scenario Outline: A request that meets an unexpected exception is answered
    Given the gateway fails with an unexpected exception <where> a request
    When a caller reads
    Then it gets 500 and the log reports the exception

    Examples:
      | where        |
      | as it takes  |
      | as it serves |

  Scenario Outline: Callers whose timeout is <text> leave the requests of others as they are
    When a caller reads with the timeout "<text>"
    And a caller reads 3 times
    Then each gets 200 with the body "answer"
    And none of them counted as tried before for over 10 s

    Examples:
      | text                     |
      | Infinity                 |
      | NaN                      |
      | 1e400                    |
      | -Infinity                |
      | 999999999999999999999999 |
      | 1e30                     |
