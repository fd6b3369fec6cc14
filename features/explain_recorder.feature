Feature: the record of decisions
  The record is bounded, and a flood of requests does not push out decisions
  on servers.

  Scenario: requests do not push out an ejection
    Given a record of 10 decisions on requests and 10 others
    When server "card-0" is ejected
    And 1000 requests are sent to server "card-1"
    Then the record holds 11 decisions
    And its first decision is on server "card-0"

  Scenario: an entry's events are on that entry only
    Given a record of 10 decisions on requests and 10 others
    When entry "entry-0" logs that the store does not answer
    Then the record has 1 decisions on entry "entry-0"
    And the record has 0 decisions on entry "entry-1"
    And event 202 was counted once
