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
      | lacking                        |
      | proof                          |
      | proof and quarantine           |
      | proof and quarantine and reach |

  Scenario: A datagram without later parts costs one byte more for "quarantine" and nothing for others
    Then an empty datagram is 1 bytes longer than that of the build f0f2c2e, for "quarantine"

  Scenario: A status without the last part is that of a VM whose tables are up to date
    When the recorded statuses of the build f0f2c2e is read
    Then no VM in it is outdated

  Scenario: A state with the age of its tables' proof is read by a build that lacks it
    When a state with a proof of its tables is read by a build that lacks "proof_age_ms"
    Then that build finds the state's revision, age and content

  Scenario: A state of a build that tells no proof proves nothing
    When a state that lacks "proof_age_ms" is read
    Then its content is read whole, and it proves no tables

  Scenario Outline: A server whose <figure> no message between VMs can hold is not used
    Then a server entry with a <figure> of <value> names no server

    Examples:
      | figure   | value                          |
      | born     | 1000000000000000000000000000000 |
      | born     | -1                             |
      | capacity | 1000000000000000000000000000000 |

  Scenario: A VM of a build before the store's eras is told the store's own revisions
    Given a platform with servers "s-1" and "s-2" and a gateway
    And the store has been in its second era from the start
    When a VM of a build before the eras pings the gateway and fetches its state
    Then it is told revisions that the store itself has given out
    And the gateway takes that VM's word for the age of the state that both hold

  Scenario: A VM of a build that knows the eras is told revisions with their era
    Given a platform with servers "s-1" and "s-2" and a gateway
    And the store has been in its second era from the start
    When a VM of a build that knows the eras pings the gateway and fetches its state
    Then it is told revisions with their era
