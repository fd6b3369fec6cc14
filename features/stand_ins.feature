Feature: the stand-ins of the platform
  They fail in the ways that the platform is known to fail.

  Scenario: a write whose reply is lost took effect
    Given a store
    When the next write's reply is lost
    And "one" is written to the store
    Then the write ended as "store-unavailable"
    And the store holds "one"

  Scenario Outline: a fault is seen by the caller
    Given a store
    When the store <fault>
    And "one" is written to the store
    Then the write ended as "<code>"
    And the store's memory does not hold "one"

    Examples:
      | fault                | code              |
      | is out               | store-unavailable |
      | is cut off from us   | store-unavailable |
      | is over its rate     | store-busy        |

  Scenario: a value over 1 MB is refused
    Given a store
    When 1048577 bytes are written to the store
    Then the write ended as "store-refused"

  Scenario: the store goes back to an older copy
    Given a store
    When "one" is written to the store
    And a copy of the store is kept
    And "two" is written to the store
    And the store is reset to the copy
    Then the store holds "one"

  Scenario: the VM list lags
    Given a VM list
    When the VM "vm-1" comes up
    Then the VM list is empty
    And the VM list shows "vm-1" in the end
