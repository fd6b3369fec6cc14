Feature: attempts of one request
  A second attempt is sent within the budget, and the one that loses is
  cancelled at its server.

  Scenario: a request at a stuck server is hedged and cancelled there
    Given an entry before 2 backend servers that has served 200 requests
    When server 0 takes 2000 times as long
    And 20 idempotent requests are sent
    Then all were answered by server 1
    And server 0 cancelled what it had begun
    And no request is counted as in flight

  Scenario: a non-idempotent request is never sent twice
    Given an entry before 2 backend servers that has served 200 requests
    When server 0 takes 100 times as long
    And 10 non-idempotent requests are sent
    Then each ran once

  Scenario: a request that a server sheds runs at another
    Given an entry before 2 backend servers that has served 200 requests
    When server 0 sheds every request
    And 20 non-idempotent requests are sent
    Then all were answered by server 1
    And each ran once

  Scenario: a draining server is left alone and found again
    Given an entry before 2 backend servers that has served 200 requests
    When server 0 drains
    And 4 idempotent requests are sent
    And 20 idempotent requests are sent
    Then all were answered by server 1
    When server 0 takes 1 times as long
    Then server 0 gets requests again
