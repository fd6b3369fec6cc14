Feature: Builds that run side by side read each other's messages

  Scenario Outline: A <message> of the build f0f2c2e is read whole
    When the recorded <message> of the build f0f2c2e is read
    Then it holds what that build has written

    Examples:
      | message        |
      | datagram-empty |
      | datagram-full  |
      | statuses       |
      | relay-request  |
      | relay-reply    |
      | relay-refusal  |
      | vm-record      |

  Scenario Outline: A datagram with news of crashes is read by a build that lacks <lacking>
    When a datagram with all its parts is read by a build that lacks <lacking>
    Then that build finds the parts that it knows

    Examples:
      | lacking              |
      | quarantine           |
      | quarantine and reach |

  Scenario: A datagram without news of crashes costs one byte more than before
    Then an empty datagram is one byte longer than that of the build f0f2c2e

  Scenario Outline: A server whose <figure> no message between VMs can hold is not used
    Then a server entry with a <figure> of <value> names no server

    Examples:
      | figure   | value                          |
      | born     | 1000000000000000000000000000000 |
      | born     | -1                             |
      | capacity | 1000000000000000000000000000000 |
