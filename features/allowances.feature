Feature: A tenant's allowance holds over all VMs, and what is below it is served

  The model has the product's grantor, permits and buckets in virtual time, VMs
  that use their permits as late as they may, and owners that are replaced.

  Scenario Outline: No window of a tenant has more requests than it is allowed, with <demand> times its rate and seed <seed>
    Given a tenant with <rate> requests a second and a burst of <burst>
    When 13 VMs send <demand> times its rate for 60 s while its owner is replaced <often>, with seed <seed>
    Then no 5 s have more than 1.1 times its allowance and 20 requests

    Examples:
      | rate | burst | demand | often      | seed |
      | 54   | 54    | 7.5    | never      | 1    |
      | 54   | 54    | 7.5    | each 2.5 s | 2    |
      | 155  | 155   | 4      | each 2.5 s | 3    |
      | 155  | 0     | 7.5    | each 5 s   | 4    |
      | 1    | 1     | 7.5    | each 2.5 s | 5    |
      | 2    | 10    | 30     | never      | 6    |

  Scenario Outline: A tenant within its allowance is served, with seed <seed>
    Given a tenant with <rate> requests a second and a burst of <burst>
    When 13 VMs send 0.65 times its rate for 60 s while its owner is replaced <often>, with seed <seed>
    Then at least 0.95 of its requests are sent

    Examples:
      | rate | burst | often    | seed |
      | 54   | 54    | never    | 1    |
      | 155  | 155   | each 5 s | 2    |
      | 2    | 2     | never    | 3    |

  Scenario: A lowered allowance binds a window later
    Given a tenant with 54 requests a second and a burst of 54
    When its allowance falls to 10 requests a second and a burst of 10 after 20 s of 7.5 times its rate
    Then from one window later no 5 s have more than 1.1 times the lower allowance and 20 requests

  Scenario: A request beyond the allowance gets 429 with the time of a place, and is not run
    Given a platform whose tenant is allowed 2 requests a second, and a gateway
    When 40 reads of the tenant arrive at once
    Then those that were not answered with 200 got 429 with a Retry-After
    And the servers ran as many as were answered with 200, and at most 33
    And after that time a read of the tenant is answered
