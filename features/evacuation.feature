Feature: The evacuated data centres that a VM knows

  Scenario Outline: A key whose value can't be decoded evacuates its data centre all the same
    When the store's key "op/evacuate/dc-a" has the value "<value>" and revision <revision>
    Then it evacuates "dc-a", and no item is unreadable

    Examples:
      | value    | revision |
      | e30=     | 7        |
      |          | 7        |
      | !?       | 7        |
      | //79/Pv6 | 0        |

  Scenario: A name that no data centre can have costs only its own key
    When the store's keys evacuate a name of 201 characters and "dc-a"
    Then it evacuates "dc-a", and 1 item is unreadable

  Scenario: A name of 200 bytes is followed
    When the store's keys evacuate a name of 200 characters and "dc-a"
    Then it evacuates 2 data centres, and no item is unreadable

  Scenario: A crowd of made-up names hides no data centre that has servers
    When the store's keys evacuate 1000 made-up names and "zz", which has a server
    Then it evacuates 256 data centres, and 1 item is unreadable
    And "zz" is among them

  Scenario: A page that is older than the first of its read tells no evacuations
    When a read's first page has revision 100 and its second has revision 90
    Then the read tells no evacuations

  Scenario: Keys have no effect where the settings have no bound for them
    Given a VM that follows no evacuations and has read "dc-a" at revision 5
    Then it sends nothing to "-"
    When its settings get a bound of 5 s
    Then it sends nothing to "dc-a"
    And it has reported "dc-a" as evacuated

  Scenario: An evacuation begins and ends with its key
    Given a VM that has read "-" at revision 5
    When it reads "dc-a dc-b" at revision 6
    Then it sends nothing to "dc-a dc-b"
    And it has reported "dc-a dc-b" as evacuated
    When it reads "dc-b" at revision 7
    Then it sends nothing to "dc-b"
    And it has reported "dc-a" as returned

  Scenario: An older read ends no evacuation
    Given a VM that has read "dc-a" at revision 6
    When it reads "-" at revision 5
    Then it sends nothing to "dc-a"

  Scenario: A state that tells no evacuations neither ends nor confirms them
    Given a VM that has read "dc-a" at revision 6
    When 2 s later it gets revision 9 from a VM that tells no evacuations
    Then it sends nothing to "dc-a"
    And it knows the evacuations as of 2 s ago

  Scenario: Newer servers of a VM that tells no evacuations hide none that is read
    Given a VM that has read "-" at revision 5
    When 1 s later it gets revision 9 from a VM that tells no evacuations
    And it reads "dc-a" at revision 8
    Then it sends nothing to "dc-a"

  Scenario: Of two reads of one revision neither ends what the other saw
    Given a VM that has read "dc-a" at revision 6
    When it reads "-" at revision 6
    Then it sends nothing to "dc-a"
    When it reads "-" at revision 7
    Then it sends nothing to "-"

  Scenario: An evacuation that the store loses stays until it is written again or 30 s have passed
    Given a VM that has read "dc-a dc-b" at revision 6
    When it reads "-" at revision 4 of the next era
    Then it sends nothing to "dc-a dc-b"
    When it reads "dc-a" at revision 5 of the next era
    And it reads "-" at revision 6 of the next era
    Then it sends nothing to "dc-b"
    When 30 s go by at the VMs
    Then it sends nothing to "-"
    And it has reported "dc-b" as returned

  Scenario: A VM that starts gets from another one what the store has lost
    Given a VM that has read "dc-a" at revision 6
    And it reads "dc-c" at revision 4 of the next era
    When another VM starts and gets the state of the first
    Then the other sends nothing to "dc-a dc-c"
    When 30 s go by at the VMs
    Then the other sends nothing to "dc-c"

  Scenario Outline: A process that resumes or starts waits for the evacuations of now
    Given a VM with a bound of 5 s that knows the evacuations of <age> s ago
    When a long pause of it ended <resumed> s ago and its last failed read began <failed> s ago
    Then requests at it <wait>

    Examples:
      | age  | resumed | failed | wait       |
      | 6    | 0.1     | 20     | wait       |
      | 6    | 0.1     | 1      | wait       |
      | 6    | 0.1     | 0.05   | don't wait |
      | 4    | 0.1     | 20     | don't wait |
      | 6    | 6.5     | 20     | don't wait |
      | 20   | 6       | 20     | don't wait |
      | 1000 | 0.1     | 2000   | wait       |

  Scenario: Where no data centre is evacuated by settings nothing waits
    Given a VM that follows no evacuations and has read "dc-a" at revision 5
    Then nothing waits at it, whatever pause it had

  Scenario: A VM of any rank reads the store before its evacuations are outdated
    Then a VM of rank 200 whose state others confirm reads them for a bound of 5 s at 2.5 to 3.25 s
    And a VM that follows no evacuations never reads them alone

  Scenario: The smallest bound sets the pace of the polls
    Then bounds of 2 s, 2 s and 1 s for evacuations are followed within 1 s
    And bounds of 2 s, 2 s and 0 s for evacuations are followed within 2 s

  Scenario: A server of an evacuated data centre is withheld with a reason of its own
    Given a server whose data centre is evacuated
    Then no request is permitted to it, because it is "evacuated"
