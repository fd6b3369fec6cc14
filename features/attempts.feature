Feature: attempts of one request
  A second attempt is sent within the retry budget, and the slower attempt is
  cancelled at its server.

  Scenario: a request at a straggler is hedged and cancelled there
    Given an entry in front of 2 backend servers that has served 200 requests
    When server 0 takes 2000 times as long
    And 20 idempotent requests are sent
    Then server 1 answered all requests
    And server 0 cancelled the requests that it had started
    And no request is counted as in flight

  Scenario: a non-idempotent request is never sent twice
    Given an entry in front of 2 backend servers that has served 200 requests
    When server 0 takes 100 times as long
    And 10 non-idempotent requests are sent
    Then each request ran once

  Scenario: a request that one server sheds runs at another
    Given an entry in front of 2 backend servers that has served 200 requests
    When server 0 sheds every request
    And 20 non-idempotent requests are sent
    Then server 1 answered all requests
    And each request ran once

  Scenario: a draining server gets no requests until it accepts them again
    Given an entry in front of 2 backend servers that has served 200 requests
    When server 0 drains
    And 4 idempotent requests are sent
    And 20 idempotent requests are sent
    Then server 1 answered all requests
    When server 0 takes 1 times as long
    Then server 0 gets requests again
