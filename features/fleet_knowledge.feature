Feature: The fleet state that a VM holds

  Scenario: A snapshot of an older revision changes nothing
    Given a VM that holds revision 7 with server "a"
    When it reads revision 6 with server "b"
    Then it holds revision 7 with servers "a"
    And the snapshot is rejected as older

  Scenario: An older document never replaces a newer one
    Given a VM that holds the document of revision 5
    When it reads revision 9 with the document of revision 4
    Then the tables of revision 5 are in force

  Scenario: A document that cannot be decoded leaves the last valid tables in force
    Given a VM that holds the document of revision 5
    When it reads revision 9 with an invalid document of revision 8
    Then the tables of revision 5 are in force
    And the document is rejected with its decoding error

  Scenario: A server that was seen leaving stays leaving
    Given a VM that holds revision 7 with server "a" leaving
    When it reads revision 8 with server "a"
    Then server "a" is leaving

  Scenario: A restarted server no longer counts as leaving
    Given a VM that holds revision 7 with server "a" leaving
    When it reads revision 8 with server "a" started later
    Then server "a" is not leaving
    And server "a" is reported as joined

  Scenario: A server that disappears while the store is reachable is dropped at once
    Given a VM that holds revision 7 with server "a"
    When it reads revision 8 without servers after 1 s
    Then it holds revision 8 with servers ""

  Scenario: Servers whose entries expired in an outage are kept for two seconds
    Given a VM that holds revision 7 with server "a"
    When it reads revision 8 without servers after 10 s
    Then it holds revision 8 with servers "a"
    When 1.5 s pass and it reads revision 9 without servers
    Then it holds revision 9 with servers "a"
    When 1 s pass and expired servers are dropped
    Then it holds revision 9 with servers ""

  Scenario: A server that registers again within the grace period is kept
    Given a VM that holds revision 7 with server "a"
    When it reads revision 8 without servers after 10 s
    And it reads revision 9 with server "a"
    And 5 s pass and expired servers are dropped
    Then it holds revision 9 with servers "a"

  Scenario: A server that was seen leaving is not used again after an outage
    Given a VM that holds revision 7 with server "a" leaving
    When it reads revision 8 without servers after 10 s
    Then server "a" is leaving or gone

  Scenario: Two VMs with the same state have the same digest
    Given a VM that holds revision 7 with server "a"
    And another VM that holds revision 9 with server "a"
    Then their digests are equal
    When the other reads revision 10 with server "a" leaving
    Then their digests differ

  Scenario: A confirmation changes only the age and the revision of the state
    Given a VM that holds revision 7 with server "a"
    When 5 s pass and revision 8 is confirmed as of 1 s ago
    Then the state's age is 1 s
    And it holds revision 8 with servers "a"

  Scenario Outline: Invalid messages from other VMs are rejected
    When a VM receives the bytes "<bytes>" as <kind>
    Then the message is rejected

    Examples:
      | kind     | bytes                |
      | datagram |                      |
      | datagram | ff00                 |
      | datagram | 9103                 |
      | datagram | 9703c0c0c0c0c0c0     |
      | table    |                      |
      | table    | 9103                 |
      | state    |                      |
      | state    | 9103                 |
      | state    | 94030501c400         |
      | state    | 94030501c403010203   |

  Scenario: Arbitrary bytes are either decoded or rejected
    When 3000 random byte strings and 3000 altered messages arrive
    Then each is decoded or rejected without any other error

  Scenario: A message of another protocol version is rejected
    When a datagram of version 2 arrives
    Then the message is rejected

  Scenario: A state is transferred between VMs without loss
    Given a VM that holds revision 7 with server "a" leaving
    When another VM installs its state
    Then both hold the same state

  Scenario: A state whose transfer took long counts as old as the request for it
    Given a VM that holds revision 7 with server "a"
    When another VM fetches its state and 3 s pass before the response arrives
    Then the state that it fetched is at least 3 s old

  Scenario: Only the parts that the requester lacks are transferred
    Given a VM that holds revision 7 with server "a"
    And another VM that holds revision 6 with server "a"
    Then the state that it sends the other contains no servers
    When the first reads revision 8 with server "a" leaving
    Then the state that it sends the other contains servers
    When the other installs the received parts
    Then both hold the same state

  Scenario Outline: A change of one server costs the same in a fleet of any size
    Given two VMs that hold the same <servers> servers
    When a server leaves 1 times
    And a server disappears
    Then the state that the first sends the other takes at most 300 bytes
    When the other installs the received parts
    Then both hold the same state

    Examples:
      | servers |
      | 33      |
      | 3300    |

  Scenario: A VM that is many changes behind gets all servers
    Given two VMs that hold the same 60 servers
    When a server leaves 40 times
    Then the state that the first sends the other has all 60 servers
    When the other installs the received parts
    Then both hold the same state

  Scenario: Received parts that no longer match the held ones are not installed
    Given a VM that holds revision 7 with server "a"
    And another VM that holds revision 6 with server "a"
    When the other changes between its request and the response
    Then the response is not installed

  Scenario: A VM without a state yet answers requests for it
    When a VM without a state is asked for it
    Then it reports an age beyond any bound

  Scenario Outline: A VM that joins sends its whole record
    Given a VM that serves callers at "<front>" and other VMs at "10.1.0.5"
    Then the ping with which it joins decodes to the same record
    And the table that it sends decodes to the same statuses

    Examples:
      | front         |
      | 10.1.0.5:8641 |
      | 10.1.9.9:8641 |
      | none          |

  Scenario: Datagrams are small
    Given a VM that serves callers at "10.1.0.5:8641" and other VMs at "10.1.0.5"
    Then a ping without news takes at most 100 bytes on the network
    And 40 pieces of news fit into a datagram of 1400 bytes
