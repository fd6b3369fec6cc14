Feature: All VMs together keep to the limit that a backend server names

  Scenario Outline: VMs that were told a limit do not each send what their own callers ask for
    Given 5 gateways and the servers "s-1" and "s-2"
    And server "s-1" names a limit of "2" and "s-2" names <other>
    When each gateway gets 10 reads a second for 8 s
    Then "s-1" got no more in any 4 s than the rule allows for a limit of 2
    And "s-1" got at least 1 request a second
    And every read got 200 or was told when to come back

    Examples:
      | other        |
      | none         |
      | a limit of 3 |
