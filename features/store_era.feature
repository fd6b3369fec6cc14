Feature: A store that comes back from an older copy

  What was written in the last seconds before is gone from the store, and its
  revisions are given out again. Its era tells that this has happened.

  Scenario: The state of a later era is taken although its revision is lower
    Given a VM with tables of version 12 and server "a" at era 1, revision 100
    When it reads era 2, revision 95 with tables of version 12 and server "a" leaving
    Then server "a" is leaving at the VM
    And it reports that the store went back

  Scenario: Newer revisions of an earlier era are never taken for current
    Given a VM with tables of version 12 and server "a" at era 2, revision 95
    When it reads era 1, revision 900 with tables of version 14 and server "b"
    Then the tables of version 12 are in force at the VM
    And it uses the servers "a"

  Scenario: Accepted tables don't revert until the operator has written them again
    Given a VM with tables of version 12 and server "a" at era 1, revision 100
    When it reads era 2, revision 95 with tables of version 11 and server "a"
    Then the tables of version 12 are in force at the VM
    When it reads era 2, revision 96 with tables of version 11 and server "a"
    Then the tables of version 12 are in force at the VM
    When it reads era 2, revision 97 with tables of version 12 written again and server "a"
    Then the tables of version 12 are in force at the VM
    When it reads era 2, revision 98 with tables of version 13 and server "a"
    Then the tables of version 13 are in force at the VM

  Scenario: A VM that read the tables again and one that kept them hold the same state
    Given a VM with tables of version 12 and server "a" at era 1, revision 100
    When it reads era 2, revision 97 with tables of version 12 written again and server "a"
    Then a VM that starts with era 2, revision 97, tables of version 12 and server "a" has the same digest

  Scenario: Equal revision numbers of two eras are different states
    Given a VM with tables of version 12 and server "a" at era 1, revision 100
    Then a VM that starts with era 2, revision 100, tables of version 13 and server "a" has another digest

  Scenario: A server that had gone does not return with the copy
    Given a VM with tables of version 12 and server "a" at era 1, revision 100
    When it reads era 1, revision 101 with tables of version 12 and server "b"
    Then it uses the servers "b"
    When it reads era 2, revision 99 with tables of version 12 and servers "a b"
    Then it uses the servers "b"
    When 5 s later it reads era 2, revision 105 with tables of version 12 and servers "a b"
    Then it uses the servers "b"

  Scenario: A server that lives although it was taken for gone is used again
    Given a VM with tables of version 12 and server "a" at era 1, revision 100
    When it reads era 1, revision 101 with tables of version 12 and server "b"
    And it reads era 2, revision 99 with tables of version 12 and servers "a b"
    And 10 s later it reads era 2, revision 130 with tables of version 12 and servers "a b"
    Then it uses the servers "a b"

  Scenario: A server that had gone and was started again is used
    Given a VM with tables of version 12 and server "a" at era 1, revision 100
    When it reads era 1, revision 101 with tables of version 12 and server "b"
    And it reads era 2, revision 99 with tables of version 12 and a restarted server "a"
    Then it uses the servers "a b"

  Scenario: Servers that the copy lacks have two seconds to register again
    Given a VM with tables of version 12 and server "a" at era 1, revision 100
    When it reads era 2, revision 95 with tables of version 12 and server "b"
    Then it uses the servers "a b"
    When 2.5 s later it reads era 2, revision 96 with tables of version 12 and server "b"
    Then it uses the servers "b"

  Scenario: A server that was leaving stays so when the copy says it is ready
    Given a VM with tables of version 12 and server "a" at era 1, revision 100
    When it reads era 1, revision 101 with tables of version 12 and server "a" leaving
    And it reads era 2, revision 99 with tables of version 12 and server "a"
    Then server "a" is leaving at the VM

  Scenario: Gateways follow the store into its next era
    Given a platform whose store is copied, with 3 gateways
    When the operator adds a route, and a server leaves and is gone
    And the store comes back from its copy
    Then the added route stays in force on every gateway
    And no gateway uses the server that had left
    When the operator writes the tables again and adds another route
    Then both routes are in force on every gateway
    And every record of a gateway that the store had is there again

  Scenario: Replies of two eras are not joined into one state
    Given a platform whose store is copied, with 1 gateways
    When the store goes back between two pages of one read
    Then the read fails instead of returning a mixture
