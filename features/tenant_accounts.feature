Feature: A VM's accounts of tenants keep those in use and follow the settings

  Scenario: A tenant in use keeps its permits when many others come
    Given accounts of which the first has 3 permits
    When 5000 other tenants send a request each, and the first one after each of them
    Then the first has 3 permits, and at most 4096 accounts are kept

  Scenario Outline: Changed settings apply to the next request, without another document
    Given a tenant whose account was opened with a tolerance of <before> requests
    When the settings change to a tolerance of <after> requests
    Then its next request is for a bucket of the tolerance of <after>
    And permits of the settings before are not used
    And an owner that granted by the settings before grants by the new bucket

    Examples:
      | before | after |
      | 20     | 5     |
      | 5      | 20    |

  Scenario: Rejected callers don't return all at the same time, beyond the allowance again
    Given accounts of which the first has 3 permits
    When 250 callers of the first, which has 54 requests a second, are rejected at once
    Then no second has more than 55 of those that return
