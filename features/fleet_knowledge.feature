Feature: What a VM knows of the fleet

  Scenario: An older state changes nothing
    Given a VM that holds revision 7 with server "a"
    When it reads revision 6 with server "b"
    Then it holds revision 7 with servers "a"
    And the older revision is complained of

  Scenario: An older document never replaces a newer one
    Given a VM that holds the document of revision 5
    When it reads revision 9 with the document of revision 4
    Then the tables of revision 5 are in force

  Scenario: A document that cannot be read leaves the last good tables
    Given a VM that holds the document of revision 5
    When it reads revision 9 with an unreadable document of revision 8
    Then the tables of revision 5 are in force
    And the unreadable document is complained of

  Scenario: A server that was seen leaving stays leaving
    Given a VM that holds revision 7 with server "a" leaving
    When it reads revision 8 with server "a"
    Then server "a" is leaving

  Scenario: Another start of a leaving server is another server
    Given a VM that holds revision 7 with server "a" leaving
    When it reads revision 8 with server "a" born later
    Then server "a" is not leaving
    And server "a" is told as joined

  Scenario: A server that is gone while the store answers is dropped at once
    Given a VM that holds revision 7 with server "a"
    When it reads revision 8 without servers after 1 s
    Then it holds revision 8 with servers ""

  Scenario: Servers whose entries lapsed in an outage get two seconds
    Given a VM that holds revision 7 with server "a"
    When it reads revision 8 without servers after 10 s
    Then it holds revision 8 with servers "a"
    When 1.5 s pass and it reads revision 9 without servers
    Then it holds revision 9 with servers "a"
    When 1 s pass and lapsed servers are dropped
    Then it holds revision 9 with servers ""

  Scenario: A lapsed server that returns in time stays for good
    Given a VM that holds revision 7 with server "a"
    When it reads revision 8 without servers after 10 s
    And it reads revision 9 with server "a"
    And 5 s pass and lapsed servers are dropped
    Then it holds revision 9 with servers "a"

  Scenario: A server that was seen leaving gets no time after an outage
    Given a VM that holds revision 7 with server "a" leaving
    When it reads revision 8 without servers after 10 s
    Then server "a" is leaving or gone

  Scenario: Two VMs with the same state have the same digest
    Given a VM that holds revision 7 with server "a"
    And another VM that holds revision 9 with server "a"
    Then their digests are equal
    When the other reads revision 10 with server "a" leaving
    Then their digests differ

  Scenario: A confirmation renews the state's age and nothing else
    Given a VM that holds revision 7 with server "a"
    When 5 s pass and revision 8 is confirmed as of 1 s ago
    Then the state's age is 1 s
    And it holds revision 8 with servers "a"

  Scenario Outline: Messages of other VMs that cannot be used are refused
    When a VM gets the bytes "<bytes>" as <kind>
    Then they are refused

    Examples:
      | kind  | bytes                |
      | heartbeat |                      |
      | heartbeat | ff00                 |
      | heartbeat | 9101                 |
      | heartbeat | 9601c0c0c0c0c0       |
      | state |                      |
      | state | 9101                 |
      | state | 94010501c400         |
      | state | 94010501c403010203   |

  Scenario: Any bytes are read as a message or refused
    When 3000 random byte strings and 3000 altered messages arrive
    Then each is read or refused, and nothing else happens

  Scenario: A message of another version is refused
    When a heartbeat of version 3 arrives
    Then they are refused

  Scenario: A state passes between VMs without loss
    Given a VM that holds revision 7 with server "a" leaving
    When another VM takes over its state
    Then both hold the same

  Scenario: Only what the asker lacks passes between VMs
    Given a VM that holds revision 7 with server "a"
    And another VM that holds revision 6 with server "a"
    Then the state that it sends the other is without servers
    When the first reads revision 8 with server "a" leaving
    Then the state that it sends the other is with servers
    When another VM takes over the rest of its state
    Then both hold the same

  Scenario: Parts that no longer fit together are not taken over
    Given a VM that holds revision 7 with server "a"
    And another VM that holds revision 6 with server "a"
    When the other changes between its asking and the answer
    Then the answer is not taken over

  Scenario: A VM that has no state yet can be asked for it
    When a VM that has read nothing is asked for its state
    Then it answers with an age that no bound allows

  Scenario Outline: A heartbeat brings a VM's whole record
    Given a VM that takes callers at "<front>" and the others at "10.1.0.5"
    Then its heartbeat brings the same record

    Examples:
      | front         |
      | 10.1.0.5:8641 |
      | 10.1.9.9:8641 |
      | none          |

  Scenario: Heartbeats of 106 VMs cost each at most 11 KB/s
    Given a VM that takes callers at "10.1.0.5:8641" and the others at "10.1.0.5"
    Then its heartbeats to 105 others cost at most 11000 bytes a second
