Feature: Records of VMs in the store

  Scenario: A VM's record is written only if the store has none of the VM
    Given a VM whose record the store lacks
    When it reads the store
    Then it writes its record
    When it reads the store with the record of its previous process
    Then it writes nothing

  Scenario: The record of a lost VM is removed, after two minutes and by one VM
    Given a VM of rank 0 that hears "a" and lists "a" and "lost"
    When 60 s pass and it reads the store
    Then it writes nothing
    When 61 s pass and it reads the store
    Then it removes the record of "lost"

  Scenario: A VM that hears few others removes no record
    Given a VM of rank 0 that hears no VM and lists "a" and "lost"
    When 200 s pass and it reads the store
    Then it writes nothing

  Scenario Outline: A VM that wakes from a pause does not take the others for gone
    Given a VM that hears 15 others, of which the store lists 12
    When it is paused for <seconds> s and reads the store
    Then it writes nothing
    When 0.5 s pass and it reads the store
    Then it writes nothing
    When 5 s pass, it hears the others and reads the store
    Then it writes nothing

    Examples:
      | seconds |
      | 12      |
      | 62      |
      | 600     |

  Scenario: A VM that is paused soon after its start waits until it has heard the others
    Given a VM that has just started and hears 1 of 15 others
    When it is paused for 12 s and reads the store, which lists 12 others
    Then it writes nothing
    When 2 s pass and it reads the store
    Then it writes nothing
    When 5 s pass, it hears the others and reads the store
    Then it writes nothing

  Scenario: A VM that was paused soon after its start and hears too few writes its record
    Given a VM that has just started and hears 1 of 15 others
    When it is paused for 12 s and reads the store, which lists 12 others
    Then it writes nothing
    When 3.5 s pass and it reads the store
    Then it writes its record

  Scenario: A VM that was paused for minutes removes no record of VMs it could not hear
    Given a VM of rank 0 that hears "a" and lists "a" and "lost"
    When it is paused for 600 s and reads the store
    Then it writes nothing
    When 60 s pass and it reads the store
    Then it writes nothing
    When 61 s pass and it reads the store
    Then it removes the record of "lost"
