Feature: VMs that lose their links serve their callers on random days in virtual time

  Scenario Outline: No random day of cuts breaks what is promised
    When a day of 13 VMs with seed <seed> is played
    Then nothing on it is broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: The check finds a fleet that does nothing about lost links
    When a day of 13 VMs with seed 1 is played, without any means against lost links
    Then it is found that callers are not served while cut off

  Scenario Outline: Cut-off VMs serve from the first second on, whatever share of the fleet they are
    When <cut> of 13 VMs are cut off
    Then with both means 9 in 10 of the first tries there are served in each second, and with none of them 0

    Examples:
      | cut |
      | 1   |
      | 8   |
      | 12  |

  Scenario Outline: Messages keep to their budget while links are lost, in a fleet of any size
    When a fifth of <size> VMs are cut off for 4 s
    Then a VM sends at most 11 KB a second, before the cut and meanwhile

    Examples:
      | size |
      | 13   |
      | 97   |
