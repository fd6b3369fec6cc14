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

  Scenario Outline: Planned work alone cuts no request off
    When planned work of seed <seed> is done for <seconds> s
    Then processes were stopped, settings and tables changed, and servers replaced
    And at least <requests> requests succeeded and none was lost

    Examples:
      | seed | seconds | requests |
      | 2    | 14      | 100      |

  Scenario: The check of planned work finds each request that was cut off
    Given a request that a server ran, whose connection ended as its VM stopped
    And one that ended without a response after its timeout, and one that crossed a close
    Then only the first of them is reported as lost, with the stop of its VM

  Scenario: The checks find every kind of violation
    Given a soak in which a POST ran twice and was answered with 503
    And a read that got another request's body
    And a read that succeeded on a removed route
    And a request that reached a server long after it began to drain
    And a request that was answered too late
    And a running request whose connection a planned stop closed
    And callers that were served everywhere but at a VM without links
    And VMs of which one has ended by itself, and one has taken too much
    Then each of these is reported as a violation

  Scenario: A soak in which no request succeeded violates a guarantee
    Given a soak whose gateways ended at their start
    Then "requests are served" is reported as a violation
