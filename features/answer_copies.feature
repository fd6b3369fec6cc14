Feature: A copy of a rejection, sent late on its connection, is no other send's answer

  A server may send a response again where the next one is expected. The id in
  it tells requests apart, not the sends of one request.

  Scenario Outline: A request that was rejected with <status> runs once, and its caller learns of it
    Given a server that rejects each request once with <status> and sends the rejection again <when>
    When <callers> callers <ask>, one request after the other
    Then no request ran more than once
    And every caller whose request ran got its 200

    Examples:
      | status | when                                   | ask  | callers |
      | 503    | as the next request arrives            | post | 1       |
      | 503    | in two parts around the next request   | post | 1       |
      | 503    | in one write with the next answer      | post | 1       |
      | 503    | while the connection is idle           | post | 1       |
      | 503    | half a second later                    | post | 1       |
      | 503    | as the next request arrives            | post | 6       |
      | 429    | as the next request arrives            | post | 1       |
      | 503    | as the next request arrives            | read | 1       |
      | 503    | in one write with the next answer      | read | 1       |

  Scenario Outline: A rejected status check that comes again is no request's answer
    Given a server that rejects the first status check on each connection, and again <when>
    When <callers> callers <ask>, one request after the other
    Then no request ran more than once
    And every caller whose request ran got its 200

    Examples:
      | when                              | ask  | callers |
      | as the next request arrives       | post | 1       |
      | in one write with the next answer | post | 1       |

  Scenario: A request that is rejected costs a connection only where it meets the same server again
    Given a server that rejects each request once with 503 and sends the rejection again never
    When 6 callers post, one request after the other
    Then every caller whose request ran got its 200
    And at most 2 connections for each of them were opened
