Feature: Operators list the tenants and the evacuations that a VM knows

  Scenario: A tenant's figures and rejections are not left out
    Given a gateway before two data centres that operators can ask
    And the document has a tenant "iron" without keys
    When gold's next read is rejected with 429 and a read with an unknown key with 401
    And the operator runs "tenants list --json" for it
    Then the tenants told are gold with 2 keys, coal with 1 and iron with 0
    And gold has 1 rejection for "over-allowance", the others none
    And 1 rejection for "unknown-key" is told of no tenant

  Scenario Outline: "<command>" does not hide <what>
    Given a gateway before two data centres that operators can ask
    When gold's next read is rejected with 429 and a read with an unknown key with 401
    And the operator runs "<command>" for it
    Then it ends with status <status> and prints '<text>'
    And it prints no key

    Examples:
      | command               | what                   | status | text                          |
      | tenants list          | the number of keys     | 0      | 40         10     2     1     |
      | tenants list          | unknown keys           | 0      | 1 unknown-key                 |
      | tenants show gold     | the reason             | 0      | rejected: 1 over-allowance    |
      | tenants show coal     | the route's priority   | 0      | priority: route               |
      | tenants show steel    | that there is none     | 1      | knows no tenant of this name  |
      | tenants show key-of-gold-1 | that there is none | 1     | knows no tenant of this name  |
      | tenants show steel --json | that there is none | 1      | "tenants":[]                  |
      | evacuations list      | that there is none     | 0      | no data centre is evacuated   |

  Scenario: Where no tenants are configured none seem to be lost
    Given a gateway without tenants that operators can ask
    When the operator runs "tenants list" for it
    Then it ends with status 0 and prints 'no request needs a key'

  Scenario: An evacuation is told with the time since which the VM has known it
    Given a gateway before two data centres that operators can ask
    When "dc-a" is evacuated, and 0.3 s later "dc-c"
    And the operator runs "evacuations list --json" for it
    Then "dc-a" with 2 servers has been known for 0.3 s longer than "dc-c" with 0
    When the operator runs "evacuations list" for it
    Then it ends with status 0 and prints 'dc-a'
    When the evacuation of "dc-c" ends
    And the operator runs "evacuations list" for it
    Then it prints nothing of "dc-c"

  Scenario: Evacuations without an effect are not told as in force
    Given a gateway without tenants that operators can ask
    When "dc-a" is evacuated, and 0.3 s later "dc-c"
    And the operator runs "evacuations list" for it
    Then it ends with status 0 and prints 'they have no effect'

  Scenario: A store that comes back without an evacuation does not make it seem new
    Given a VM that has known for 20 s that "dc-a" is evacuated
    When the store comes back from a copy without it
    Then the VM has known it for 20 s, and keeps it for at most 30 s more
    When it is written again and removed 5 s later
    Then the VM knows of no evacuation

  Scenario: Rejections of more tenants than a VM counts take no more memory
    When requests of 5000 tenants are rejected
    Then at most 4096 tenants are counted, and the latest

  Scenario Outline: "<command>" tells a process that <fault> from others
    Given a process that <fault>
    When the operator runs "<command>" for it
    Then it ends with status <status> and prints '<text>'

    Examples:
      | command           | fault                    | status | text                 |
      | tenants list      | has no configuration yet | 7      | no configuration yet |
      | tenants show gold | is of a build without it | 8      | does not answer this |
      | tenants list      | does not answer          | 5      | entry-unavailable    |
      | evacuations list  | is of a build without it | 8      | does not answer this |
      | evacuations list  | answers something else   | 5      | unreadable           |
