Feature: A VM tells where a request would go now, without sending it

  Servers s-1 and s-2 are in data centre dc-a, s-3 and s-4 in dc-b. The VM is in
  dc-a. Routes "reads" and "posts" ask for a key, "open" and "split" don't.

  Scenario Outline: The outcome that is told is the one of requests when <situation>
    Given a gateway before two data centres that operators can ask
    When this holds: <situation>
    And the operator asks where "<path>" of tenant "<tenant>" would go
    Then the outcome is "<outcome>" with "<code>" and the reason says "<reason>"

    Examples: served
      | situation               | path     | tenant | outcome      | code | reason           |
      | all is as usual         | /open/1  | -      | sent         |      | have room        |
      | all is as usual         | /reads/1 | gold   | permit-asked |      | with a permit: sent |
      | gold holds permits      | /reads/1 | gold   | sent         |      | have room        |
      | gold's owner can't be asked | /reads/1 | gold | permit-asked |    | its own part     |
      | all is as usual         | /reads/1 | coal   | sent         |      | have room        |
      | all servers are full    | /open/1  | -      | searched     |      | no server has room |
      | all servers are ejected | /open/1  | -      | searched     |      | can still be in time |
      | no server has reported  | /open/1  | -      | searched     |      | no server has reported |
      | all servers have limits | /open/1  | -      | permit-asked | no-server | at their limits |
      | the VM has lost its links | /open/1 | -     | passed-on    |      | not to this one  |
      | no server has just responded | /open/1 | -  | awaited      |      | other VMs are asked |

    Examples: rejected
      | situation               | path     | tenant | outcome  | code                  | reason            |
      | all is as usual         | /none/1  | -      | rejected | no-route              | no route          |
      | all is as usual         | /reads/1 | -      | rejected | unknown-key           | known tenant      |
      | all is as usual         | /reads/1 | steel  | rejected | unknown-key           | known tenant      |
      | the proof is too old    | /reads/1 | coal   | rejected | configuration-too-old | too old           |
      | the process stops       | /open/1  | -      | rejected | draining              | stops             |
      | gold has no permit left | /reads/1 | gold   | rejected | over-allowance        | vm-1, has no permit |
      | both are evacuated      | /open/1  | -      | rejected | no-server             | evacuated         |
      | evacuations are unknown | /open/1  | -      | rejected | no-server             | not known yet     |
      | all servers are gone    | /open/1  | -      | rejected | no-server             | no server is known |
      | no server responds to any VM | /open/1 | -  | rejected | no-server             | to any VM         |

  Scenario Outline: A request to <path> is not answered otherwise than told when <situation>
    Given a gateway before two data centres that operators can ask
    When this holds: <situation>
    And the operator asks where "<path>" of tenant "<tenant>" would go
    Then a request to "<path>" of tenant "<tenant>" gets what was told

    Examples:
      | situation               | path     | tenant |
      | all is as usual         | /open/1  | -      |
      | all is as usual         | /reads/1 | gold   |
      | all is as usual         | /none/1  | -      |
      | all is as usual         | /reads/1 | -      |
      | the proof is too old    | /reads/1 | gold   |
      | the process stops       | /open/1  | -      |
      | gold has no permit left | /reads/1 | gold   |
      | both are evacuated      | /open/1  | -      |
      | evacuations are unknown | /open/1  | -      |
      | all servers are gone    | /open/1  | -      |
      | no server responds to any VM | /open/1 | -  |

  Scenario Outline: A server that <situation> is not taken for a usable one
    Given a gateway before two data centres that operators can ask
    When this holds of "s-1": <situation>
    And the operator asks where "/open/1" of tenant "-" would go
    Then "s-1" is told to be "<state>", and 3 others "usable"
    And "s-1" is not a target

    Examples:
      | situation                 | state        |
      | says that it leaves       | leaving      |
      | is registered as leaving  | leaving      |
      | asks for a pause          | pause        |
      | names a limit             | limit        |
      | fails twice               | ejected      |
      | answers no probes         | unresponsive |
      | was replaced              | replaced     |

  Scenario: An evacuated data centre is shown with its servers
    Given a gateway before two data centres that operators can ask
    When "dc-a" is evacuated at the VM
    And the operator asks where "/open/1" of tenant "-" would go
    Then "s-1" is told to be "evacuated", and 2 others "usable"
    And "s-3" is the first target or "s-4" is

  Scenario: An answer doesn't leave out the reports' ages, distances and coldness
    Given a gateway before two data centres that operators can ask
    When "s-1" is cold for 9 s more
    And the operator asks where "/open/1" of tenant "-" would go
    Then each report's age is told, and the newest and oldest of all
    And "s-1" is told to be cold for 9 s
    And servers in "dc-b" are told to be further away than in "dc-a"
    And the decision on leaving is told with the share of each start

  Scenario: A pool that isn't decided yet is not told as decided
    Given a gateway before two data centres that operators can ask
    When the operator asks where "/split/1" of tenant "-" would go
    Then one of its pools is shown as drawn at random
    When a read of the split route has chosen its pool
    And the operator asks where "/split/1" of tenant "-" would go
    Then the pool is the one that the next read goes to

  Scenario: What look-ups tell callers of a data centre is not left out
    Given a gateway before two data centres that operators can ask
    When a caller has looked up a VM
    And the operator asks for a caller in "dc-b"
    Then look-ups are told to name 1 VM, none of them in "dc-b", and this one

  Scenario Outline: A question takes no permit, draws nothing and changes nothing when <situation>
    Given a gateway before two data centres that operators can ask
    When this holds: <situation>
    And each kind of question is asked 5 times
    Then the state of the process is as it was before

    Examples:
      | situation                 |
      | all is as usual           |
      | gold holds permits        |
      | gold has no permit left   |
      | all servers have limits   |
      | the VM has lost its links |
      | no server has just responded |
      | both are evacuated        |

  Scenario Outline: A question sends nothing to servers when <situation>
    Given a gateway before two data centres that operators can ask
    When this holds: <situation>
    And each kind of question is asked 5 times
    Then no server got a probe or a request meanwhile

    Examples:
      | situation               |
      | all is as usual         |
      | gold holds permits      |
      | all servers have limits |
      | both are evacuated      |

  Scenario: A large pool does not make the answer grow
    Given a gateway before two data centres that operators can ask
    When 300 servers more are registered, 200 of them leaving
    And the operator asks where "/open/1" of tenant "-" would go
    Then 32 servers are named, usable and leaving ones, and 304 counted

  Scenario: A key given as the tenant's name is neither shown nor accepted
    Given a gateway before two data centres that operators can ask
    When the operator asks where "/reads/1" of tenant "key-of-gold-1" would go
    Then the outcome is "rejected" with "unknown-key" and the reason says "known tenant"
    And neither the answer nor the log holds "key-of-"

  Scenario Outline: The command prints <form>
    Given a gateway before two data centres that operators can ask
    When the operator runs "explain where /open/1 --host shop.example --data-center dc-b <options>" for it
    Then it ends with status 0 and prints '<text>'

    Examples:
      | form | options | text             |
      | text |         | sent to s-       |
      | text |         | load reports:    |
      | JSON | --json  | "outcome":"sent" |

  Scenario Outline: A process that <fault> is not taken for another fault
    Given a process that <fault>
    When the operator runs "explain where /open/1 <options>" for it
    Then it ends with status <status> and prints '<text>'

    Examples:
      | fault                     | options | status | text                      |
      | does not answer           |         | 5      | entry-unavailable         |
      | has no configuration yet  |         | 7      | no configuration yet      |
      | has no configuration yet  | --json  | 7      | "code":"vm-not-ready"     |
      | is of a build without it  |         | 8      | does not answer this      |
      | answers something else    |         | 5      | unreadable                |
