Feature: Evacuations between VMs of two builds

  The build 109eea4 knows no evacuations. Its messages are recorded bytes; what
  it reads is read by types without the parts that it lacks.

  Scenario: A state of the build 109eea4 tells no evacuations
    When the recorded state of the build 109eea4 is read
    Then it holds server "s-1" at revision 9, and tells no evacuations

  Scenario: A datagram of the build 109eea4 confirms the state, but no evacuations
    Given a VM that holds the recorded state and has read "dc-a" at revision 9
    When 2 s later it gets the recorded datagram of the build 109eea4
    Then its state is confirmed as of 0.3 s ago or later
    And it knows the evacuations as of 2 s ago
    And it sends nothing to "dc-a"

  Scenario: A fetched state of the build 109eea4 ends no evacuation, and its servers are used
    Given a VM without servers that knows "dc-a" at revision 5 of a store without eras
    When it fetches the recorded state of the build 109eea4
    Then it uses server "s-1"
    And it sends nothing to "dc-a"
    And its evacuations are those of revision 5 of a store without eras

  Scenario: Digests match those of the build 109eea4, whatever is evacuated
    Given a VM that holds the recorded state and has read "-" at revision 9
    Then its digest is that of the build 109eea4
    When it reads the recorded state with "dc-a" at revision 10
    Then its digest is that of the build 109eea4

  Scenario: Where nothing is told of evacuations a datagram has the bytes of the build 109eea4
    Then a datagram that tells no evacuations is the recorded one of the build 109eea4

  Scenario: The build 109eea4 reads a datagram that tells evacuations
    When a datagram that tells evacuations is read by a build that doesn't know them
    Then that build reads the claim of the state, and everything after it

  Scenario: The build 109eea4 reads a state that tells evacuations
    When a state that tells evacuations is read by a build that doesn't know them
    Then that build reads all other parts of it

  Scenario Outline: A VM's claim of evacuations confirms those that another holds, or is fetched
    Given a VM that has read "dc-a" at revision 6
    When 2 s later another VM claims "<names>" at revision <revision>, known 0.5 s ago
    Then the VM <does>

    Examples:
      | names | revision | does                              |
      | dc-a  | 6        | takes them as confirmed 0.5 s ago |
      | dc-a  | 8        | takes them as confirmed 0.5 s ago |
      | -     | 8        | fetches that VM's state           |
      | dc-b  | 8        | fetches that VM's state           |
      | -     | 6        | takes them as confirmed 2 s ago   |
      | -     | 5        | takes them as confirmed 2 s ago   |
      | dc-a  | 5        | takes them as confirmed 2 s ago   |

  Scenario: A claim of evacuations in a new era is fetched, as the store may have lost some
    Given a VM that has read "dc-a" at revision 6
    When 2 s later another VM claims "dc-a" at revision 4 of the next era, known 0.5 s ago
    Then the VM fetches that VM's state

  Scenario: A VM that knows no evacuations yet claims none
    Given a VM that has read no evacuations
    Then its datagrams and states tell no evacuations
    When another VM claims "-" at revision 6, known 0.5 s ago
    Then the VM fetches that VM's state

  Scenario: A VM whose settings have no bound tells nothing and takes nothing for confirmed
    Given a VM that follows no evacuations and has read "dc-a" at revision 6
    Then its datagrams and states tell no evacuations
    When 2 s later another VM claims "dc-a" at revision 8, known 0.5 s ago
    Then the VM takes them as confirmed 2 s ago

  Scenario: A state with evacuations that no VM would tell is rejected whole
    Then a state with 257 evacuated data centres is rejected
    And a state with a name of 201 characters is rejected
    And a state with 256 names of 200 characters is read
