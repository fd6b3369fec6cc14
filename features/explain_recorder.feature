Feature: the decision log
  The log is bounded, and a burst of requests does not evict decisions on
  servers.

  Scenario: decisions on requests do not evict an ejection
    Given a decision log for 10 decisions on requests and 10 others
    When server "card-0" is ejected
    And 1000 requests are sent to server "card-1"
    Then the log holds 11 decisions
    And its first decision is on server "card-0"

  Scenario: an event of one entry is not on another entry
    Given a decision log for 10 decisions on requests and 10 others
    When entry "entry-0" logs that the store does not respond
    Then the log has 1 decisions on entry "entry-0"
    And the log has 0 decisions on entry "entry-1"
    And event 202 was counted once
