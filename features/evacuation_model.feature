Feature: What a VM takes for the store's evacuations was the store's

  A model of a store and a few VMs is run through random sequences of events:
  evacuations that begin and end, VMs that read the store and get the reply
  later, datagrams and states that arrive late, twice, in any order or never,
  starts, and a store that comes back from an older copy. Some VMs are of a
  build that knows no evacuations; they read the store and tell the rest of it.

  Scenario Outline: No random sequence of messages hides or ends an evacuation
    When <new> VMs that follow evacuations and <old> that don't are run through 600 random sequences of 60 events with seed <seed>
    Then every VM held what the store did at the time as of which it knew it, or more
    And VMs learned of evacuations from other VMs

    Examples:
      | new | old | seed |
      | 3   | 0   | 1    |
      | 2   | 1   | 2    |
      | 2   | 2   | 3    |

  Scenario Outline: The check detects VMs that take <what> for a confirmation
    Given VMs that take <what> for a confirmation
    When 2 VMs that follow evacuations and 1 that don't are run through 600 random sequences of 60 events with seed 4
    Then some VM lacked an evacuation that it had to know

    Examples:
      | what                                       |
      | the state's claim of a build without them  |
      | any claim of evacuations                   |
      | a state without evacuations for one of none |
