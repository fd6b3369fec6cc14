Feature: A short soak test of real processes

  Scenario: A seed always gives the same plan of faults
    Then seed 7 gives the same plan twice and seed 8 a different one

  Scenario: Two test runs on one machine do not share addresses or ports
    Given the VMs of a test run in this process and of one in another process
    Then no two of them have the same address
    And their ports are none that the kernel gives to outgoing connections

  Scenario Outline: No guarantee is violated under random faults
    When the soak runs seed <seed> for <seconds> s
    Then at least <requests> requests succeeded and no guarantee was violated

    Examples:
      | seed | seconds | requests |
      | 1    | 12      | 100      |

  Scenario: The checks find every kind of violation
    Given a soak in which a POST ran twice and was answered with 503
    And a read that got another request's body
    And a read that succeeded on a removed route
    And a request that reached a server long after it began to drain
    And a request that was answered too late
    And a running request whose connection a planned stop closed
    And callers that were served everywhere but at a VM without links
    Then each of these is reported as a violation

  Scenario: A soak in which no request succeeded violates a guarantee
    Given a soak whose gateways ended at their start
    Then "requests are served" is reported as a violation
