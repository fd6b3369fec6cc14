@alone
Feature: Clients that ask for the fleet's state keep it from no other VM

  Guards against a process that grows beyond its VM's memory by the answers to
  such clients, or that has no answer left for a VM. Both crowds did no harm
  before the state was packed once for all; they took its processor time only.

  Scenario Outline: <count> clients <do>
    Given a store and servers that answer a crowd's requests
    And 3000 servers of another pool
    And a gateway process with 80 MB and 500 descriptors, and bodies of up to 1 MB
    When at VM states, <count> clients <do>
    Then another client gets the state of all servers beside them
    And an ordinary read and an ordinary post are answered beside them
    When they have left
    Then the process lives and has kept within its memory and descriptors

    Examples:
      | count | do                                  |
      | 120   | send 4000 requests and read nothing |
      | 40    | read 20 downloads a byte at a time  |
