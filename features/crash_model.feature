Feature: Random days of requests that end servers, in virtual time

  Scenario Outline: A random day keeps requests that end servers from them, and holds no innocent one
    When a random day of 13 VMs with requests that end servers is played with seed <seed>
    Then its guilty requests were kept from the servers and no innocent one was held

    Examples:
      | seed |
      | 8    |
      | 14   |
      | 18   |
      | 49   |
      | 96   |

  Scenario Outline: Where servers end by themselves all the time, no request is held for it
    When a random day of 13 VMs without a guilty request is played with seed <seed>
    Then its guilty requests were kept from the servers and no innocent one was held

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: A request that ends servers is held in a fleet of 97 VMs
    When one guilty request comes to 97 VMs before 24 servers for 12 s
    Then it ended at most 5 servers
    And no VM sent more than 11 KB a second

  Scenario: Nothing is told of crashes while no server ends
    When 13 VMs serve requests for 5 s and no server ends
    Then no datagram told of a crash

  Scenario: A VM that missed a lift lets the request run again, and one that starts later does
    Given 13 VMs that hold a request
    When a VM is cut off from the others while an operator lifts the verdict
    And the VM is back for 5 s
    Then no VM holds the request
    When another VM starts again
    Then no VM holds the request
