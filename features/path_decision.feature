Feature: A VM passes requests on only where its own links are at fault

  Scenario Outline: What becomes of a request is decided by what servers and other VMs show
    Given a pool that is <silent> and <connects>, with <witnesses> witnesses among <peers> VMs
    And the others were asked <asked> ms ago
    When a request is decided that is <origin> and <placed>
    Then the decision is <decision>

    Examples:
      | silent     | connects              | witnesses | peers | asked | origin            | placed   | decision      |
      | not silent | takes connections     | 0         | 4     | 0     | of an own caller  | placed   | ServeHere     |
      | silent     | takes connections     | 2         | 4     | 0     | of an own caller  | placed   | PassOn        |
      | silent     | refuses connections   | 2         | 4     | 500   | of an own caller  | placed   | PassOn        |
      | silent     | refuses connections   | 0         | 4     | 100   | of an own caller  | placed   | AwaitEvidence |
      | silent     | refuses connections   | 0         | 4     | 500   | of an own caller  | placed   | RejectAtOnce  |
      | silent     | refuses connections   | 0         | 4     | 300   | of an own caller  | placed   | ServeHere     |
      | silent     | takes connections     | 0         | 4     | 500   | of an own caller  | placed   | ServeHere     |
      | silent     | refuses connections   | 0         | 0     | 0     | of an own caller  | placed   | ServeHere     |
      | silent     | refuses connections   | 0         | 0     | 500   | of an own caller  | placed   | RejectAtOnce  |
      | silent     | refuses connections   | 2         | 4     | 500   | of another VM     | placed   | RejectAtOnce  |
      | silent     | takes connections     | 2         | 4     | 500   | of another VM     | unplaced | RejectAtOnce  |
      | not silent | refuses connections   | 2         | 4     | 500   | of an own caller  | placed   | ServeHere     |
      | not silent | refuses connections   | 2         | 4     | 500   | of an own caller  | unplaced | PassOn        |
      | not silent | refuses connections   | 2         | 4     | 500   | of another VM     | unplaced | ServeHere     |
      | not silent | refuses connections   | 0         | 4     | 500   | of an own caller  | unplaced | ServeHere     |

  Scenario: A connection that failed while the process stood still says nothing about its server
    Given a VM to which the servers of "pool" responded at 10.0 s
    When it tries to connect to all of them at 10.1 s and gives up at 11.2 s
    Then no failure is held against "pool"

  Scenario Outline: A response to another VM counts only if it came after the servers fell silent here
    Given a VM to which the servers of "pool" fell silent at 10.0 s
    When it is 10.3 s, and "vm-2" says that it was answered at <answered> s
    Then the VM <decides>

    Examples:
      | answered | decides                          |
      | 10.2     | has lost its path to "pool"      |
      | 9.9      | has not lost its path to "pool"  |
      | 10.01    | has not lost its path to "pool"  |

  Scenario: A response to another VM is forgotten after a second and a half
    Given a VM to which the servers of "pool" fell silent at 10.0 s
    When it is 10.3 s, and "vm-2" says that it was answered at 10.2 s
    And it is 11.8 s
    Then nothing is passed on

  Scenario: A VM that asks about a pool itself is no witness for it
    Given a VM to which the servers of "pool" fell silent at 10.0 s
    When it is 10.3 s, and "vm-2" says that it was answered at 10.2 s
    And "vm-2" asks about "pool"
    Then nothing is passed on

  Scenario: A VM that says what others have seen doesn't stand for itself
    Given a VM to which the servers of "pool" fell silent at 10.0 s
    When it is 10.3 s, and "vm-2" says that "vm-3" was answered at 10.2 s
    Then requests for "pool" are passed on to "vm-3" only

  Scenario: While all pools respond a message carries three bytes for them
    Given a VM to which all pools respond
    Then what it says of its paths takes 3 bytes

  Scenario: What a message says of pools is bounded
    Given a VM to which 1800 pools have fallen silent, which 40 others ask about
    Then its messages name at most 8 pools that it asks about and 32 responses
    And what it says of its paths takes at most 1200 bytes

  Scenario: A path that is back ends the questions and the cut
    Given a VM to which the servers of "pool" fell silent at 10.0 s
    When it is 10.3 s, and "vm-2" says that it was answered at 10.2 s
    And a server of "pool" responds to it
    Then the VM asks about no pool and is cut off from none

  Scenario: Requests go to VMs with room more often, and to each of them at times
    Given VMs with capacities 287, 287 and 50 of which the second has a load of 250
    When requests are passed on 3000 times
    Then the first VM comes first most often, and each at least 30 times

  Scenario Outline: Look-ups leave VMs without a path out while the others carry the demand
    Given 13 VMs of capacity 100 of which <cut> are cut off
    Then look-ups for a demand of <demand> name <named> VMs

    Examples:
      | cut | demand | named |
      | 0   | 300    | 13    |
      | 8   | 300    | 5     |
      | 12  | 90     | 1     |
      | 12  | 300    | 13    |
      | 13  | 300    | 13    |

  Scenario: A VM serves its own callers before those of other VMs
    Given a queue with a request of another VM and then one of an own caller
    When a slot is offered twice
    Then the own caller's request gets the first one

  Scenario: Of a queue that is too long, requests of other VMs are rejected first
    Given a queue of 12 requests, every second one of another VM
    When those in excess are rejected
    Then all requests that were rejected are of other VMs
