Feature: All VMs together keep to what a cold server takes

  Scenario Outline: What a server takes while cold is read, and nonsense changes nothing
    When a document says that cold servers of a pool take <said> requests a second
    Then the pool's servers take <read> requests a second while cold

    Examples:
      | said   | read |
      | 2.7    | 2.7  |
      | null   | 0    |
      | "many" | 0    |
      | -1     | 0    |

  Scenario Outline: Without a rate or a bound no server counts as cold
    Given a pool whose cold servers take <rate> a second, and <bounds>
    When a server of the pool says that it stays cold for 5 s
    Then its admission needs <what>

    Examples:
      | rate | bounds                 | what      |
      | 2.7  | bounds in the settings | permits   |
      | 2.7  | no such bounds         | no permit |
      | 0    | bounds in the settings | no permit |

  Scenario: The colder of the entry and the health response holds until its time is over
    Given a server that takes 2.7 requests a second while cold
    When its entry says 6 s and its health response 2 s
    And 5.9 s of the server's time pass
    Then it is limited to 2.7 requests a second
    When its health response says nothing
    Then it is limited to 2.7 requests a second

  Scenario: The limit rises step by step after the warm-up, and then ends
    Given a server that takes 2.7 requests a second while cold
    When its entry says 6 s and its health response 2 s
    And 6.5 s of the server's time pass
    Then it is limited to 5.4 requests a second
    When 1 s of the server's time pass
    Then it is limited to 21.6 requests a second
    When 0.5 s of the server's time pass
    Then it is not limited

  Scenario: A cold server that states a limit obeys the lower one
    Given a server that takes 2.7 requests a second while cold
    When its health response says 5 s
    And it states a limit of 9
    Then it is limited to 2.7 requests a second
    When it states a limit of 1
    Then it is limited to 1 requests a second

  Scenario: What was granted before a server became cold is not used
    Given a server that takes 2.7 requests a second while cold
    When it states a limit of 200
    And this VM holds 40 permits
    And its health response says 5 s
    Then no request may be sent to it

  Scenario: A server that restarts while cold stays cold for VMs that hear of it late
    Given a server that takes 2.7 requests a second while cold
    When its health response says 5 s
    And its next process is listed with 0 s left
    Then it is limited to 2.7 requests a second

  Scenario: An entry that is read again unchanged does not prolong a warm-up
    When a VM reads an entry with 5 s left, and again 4 s later
    Then it passes on that 1 s is left

  Scenario: A running server whose entry becomes cold is cold
    When a VM reads an entry with 0 s left, and then one with 5 s
    Then the change names the server as cold

  Scenario Outline: In no second a cold server gets more than the bound, and it is used
    Given 13 VMs before 3 servers that take <rate> requests a second while cold, with seed <seed>
    When the servers restart and stay cold for 12 s
    And callers send 60 requests a second for 12 s
    Then no server got more in any second than the bound allows
    And each server got its first request within 2 s
    And the servers got at least <share> of the rate

    Examples:
      | rate | seed | share |
      | 2.7  | 1    | 0.8   |
      | 2.7  | 2    | 0.8   |
      | 5.6  | 1    | 0.7   |

  Scenario Outline: No surge follows a warm-up
    Given 13 VMs before 1 servers that take 2.7 requests a second while cold, with seed <seed>
    When the servers restart and stay cold for 5 s
    And callers send 150 requests a second for 9 s
    Then the server got at most 8, 14 and 26 requests in the half seconds after it
    And the server got more than 100 requests in the last second

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: The bound holds while <trouble>
    Given 13 VMs before 2 servers that take 5.6 requests a second while cold, with seed <seed>
    When the servers restart and stay cold for 20 s
    And callers send 150 requests a second for 5 s
    And <trouble>
    And callers send 150 requests a second for 11 s
    Then no server got more in any second than the bound allows

    Examples:
      | trouble                                            | seed |
      | each VM is paused for 2 s in turn                  | 1    |
      | each VM is killed and started again in turn        | 1    |
      | each VM is cut off for 3 s in turn                 | 1    |
      | the fleet falls into two halves                    | 1    |
      | no VM reaches another                              | 1    |
      | half of the VMs are killed                         | 1    |

  Scenario Outline: Parts of a fleet that use what they saved in one moment keep the bound
    When parts of <parts> of 13 VMs grant what they saved for 10 s, and all they can for 1.3 s
    Then they grant at most 16 permits for a server that takes 5.6 requests a second while cold

    Examples:
      | parts                     |
      | 1,1,1,1,1,1,1,1,1,1,1,1,1 |
      | 2,2,2,2,2,3               |
      | 6,6,1                     |
      | 7,6                       |

  Scenario Outline: A random day of cold servers keeps the bound
    When the random day <seed> of cold servers before 13 VMs is played
    Then no server got more in any second of it than the bound allows

    Examples:
      | seed |
      | 1    |
      | 4    |
      | 5    |
      | 7    |
