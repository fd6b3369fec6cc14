Feature: simulated platform services
  The test doubles of the store and the VM list fail in the same ways as the
  platform's services.

  Scenario: a write takes effect although its reply is lost
    Given a simulated store
    When the store drops the reply to the next write
    And "one" is written to the store
    Then the write result is "store-unavailable"
    And the stored value is "one"

  Scenario Outline: a write fails under a fault of the store
    Given a simulated store
    When the store <fault>
    And "one" is written to the store
    Then the write result is "<code>"
    And the store has not stored "one"

    Examples:
      | fault                       | code              |
      | is unavailable              | store-unavailable |
      | resets our connections      | store-unavailable |
      | has reached its rate limit  | store-busy        |

  Scenario: the store rejects a value over 1 MB
    Given a simulated store
    When 1048577 bytes are written to the store
    Then the write result is "store-refused"

  Scenario: the store is reset to an older copy
    Given a simulated store
    When "one" is written to the store
    And a copy of the store is saved
    And "two" is written to the store
    And the store is reset to the copy
    Then the stored value is "one"

  Scenario: the VM list publishes a change after a lag
    Given a simulated VM list
    When the VM "vm-1" starts
    Then the VM list is empty
    And the VM list eventually contains "vm-1"
