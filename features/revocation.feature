Feature: A withdrawn key stops working in time, also where the store can't be read

  Scenario Outline: A key is <ruling> where the tables' proof is <age> s old
    When a request with <key> is judged by tables whose proof is <age> s old, the bound being 5 s
    Then it is ruled "<ruling>"

    Examples:
      | key         | age | ruling                |
      | a known key | 0   | serve                 |
      | a known key | 4.2 | serve                 |
      | a known key | 4.4 | configuration-too-old |
      | a known key | 5.1 | configuration-too-old |
      | a known key | inf | configuration-too-old |
      | another key | 0   | unknown-key           |
      | another key | 4.4 | configuration-too-old |
      | no key      | 0   | unknown-key           |
      | no key      | 4.4 | unknown-key           |

  Scenario: Without fail_closed the tables in force decide, however old
    When a request with a known key is judged by tables of any age without fail_closed
    Then it is ruled "serve"

  Scenario Outline: The proof of the tables counts from <case>
    Given a VM that has read tables at 100 s
    When <event>
    Then at 110 s the proof of its tables is <age> s old

    Examples:
      | case                                     | event                                                        | age |
      | the start of a read                      | a read from 104 s to 105 s brings the same document          | 6   |
      | the start of a read of newer tables      | a read from 104 s to 105 s brings a newer document           | 6   |
      | the earlier read if it is unreadable     | a read from 104 s to 105 s brings a broken document          | 10  |
      | the earlier read if it stays unreadable  | two reads from 104 s and from 106 s bring a broken document  | 10  |
      | the read that brings a usable document   | a broken document and then a newer one are read from 106 s   | 4   |
      | the earlier read if there is no document | a read from 104 s to 105 s brings no document                | 10  |
      | the earlier read if the store is behind  | a read from 104 s to 105 s brings an older revision          | 10  |
      | a read of a store that has gone back     | a read from 104 s to 105 s brings an era's earlier version   | 6   |
      | the earlier read if another VM's datagram confirms | another VM's datagram confirms the state as of 104 s | 10 |
      | a question to another VM less its age    | a VM asked at 105 s replies that its proof is 2 s old        | 7   |
      | the earlier read if the VM holds others  | a VM asked at 105 s replies that its proof of other tables is 0 s old | 10 |
      | the earlier read while it is unreadable  | a broken document is read, and a VM asked at 105 s replies that its proof is 2 s old | 10 |

  Scenario: A VM without any read or reply has no proof
    Given a VM that has got its tables from a VM that tells no proof
    Then its tables are not proven at all

  Scenario: A late reply makes no proof younger
    Given a fleet of 2 VMs that hold the same tables
    When a VM pings the other one, whose reply comes 3 s later
    Then the proof it gains is older than 3 s

  Scenario: A reply to a ping of an earlier process proves nothing
    Given a fleet of 2 VMs that hold the same tables
    When a reply comes to a ping that the VM hasn't sent
    Then it gains no proof, and asks the sender

  Scenario Outline: No withdrawn key works for longer than the bound, whatever happens, with seed <seed>
    Given 4 VMs whose keys are withdrawn and added at random, with seed <seed>
    When for 30 s VMs are paused and cut off, messages come late and documents are broken
    Then no request is sent whose key was withdrawn for longer than the bound

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 5    |

  Scenario: The model finds VMs that take late datagrams for proofs
    Given 4 VMs that trust datagrams however late, whose keys are withdrawn and added at random, with seed 7
    When for 30 s VMs are paused and cut off, messages come late and documents are broken
    Then some request is sent whose key was withdrawn for longer than the bound

  Scenario: Without faults all VMs hold proofs that are far from the bound
    Given 20 VMs whose keys are withdrawn and added at random, with seed 1
    Then without faults no proof gets older than 1.3 s

  Scenario: Look-ups of all VMs stop naming one whose tables get too old, before it refuses requests
    Given 4 VMs whose keys are withdrawn and added at random, with seed 1
    When 1 VM gets no proof any more, and 3.4 s pass
    Then the look-ups of each VM name all but that VM
    And that VM still serves tenants

  Scenario: Callers get addresses also while no VM has fresh tables
    Given 4 VMs whose keys are withdrawn and added at random, with seed 1
    When 4 VM gets no proof any more, and 8 s pass
    Then the look-ups of each VM name all VMs
