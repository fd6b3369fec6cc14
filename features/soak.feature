Feature: A short soak of real processes

  Scenario: The plan of a seed is always the same
    Then seed 7 makes the same plan twice and seed 8 another

  Scenario Outline: No promise is broken under random faults
    When the soak plays seed <seed> for <seconds> s
    Then at least <requests> requests ended and no promise was broken

    Examples:
      | seed | seconds | requests |
      | 1    | 12      | 100      |

  Scenario: The checks see what is broken
    Given a soak in which a post ran twice and was told 503
    And a read that got another's body
    And a read that a removed route still served
    And a request that a server got long after its leaving
    And a request that was held
    And a request that a planned stop cut off
    Then each of these is told as a broken promise
