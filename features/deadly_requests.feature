Feature: Requests that crash the servers that run them

  Scenario: A request that crashes servers is kept from them at every VM
    Given 5 gateways before 8 servers that are back 1.5 s after a crash
    When a deadly read comes each 0.15 s for 8 s, beside 12 reads a second
    Then the deadly request reached servers at most 3 times later than 3 s after its third crash
    And it crashed at most 5 servers
    And at least 0.97 of the other requests were served

  Scenario Outline: A held request is rejected at once on a route of kind <kind>, truthfully
    Given 3 gateways before 6 servers that are back 1.5 s after a crash, routes of kind "<kind>"
    When the deadly request comes until it is held
    And the deadly request comes 3 times to each gateway
    Then each of these was rejected as held, not run, within 0.2 s and with a time to return
    And no request was told not to have run that did, and non-idempotent ones ran once at most

    Examples:
      | kind           |
      | idempotent     |
      | download       |
      | non_idempotent |

  Scenario: Callers that send one request to one VM only are kept from servers, too
    Given 3 gateways before 6 servers that are back 1.5 s after a crash
    When the first gateway alone gets the deadly read until it is held
    And the deadly request comes 3 times to each gateway
    Then each of these was rejected as held, not run, within 0.2 s and with a time to return

  Scenario: Twenty requests that crash servers and come now and then are kept from them
    Given 4 gateways before 12 servers that are back 0.5 s after a crash
    When 20 deadly reads come by turns, 5 a second for 30 s, beside 20 reads a second
    Then each deadly read reached servers at most 3 times later than 3 s after its third crash
    And no other request was rejected as held

  Scenario: Twenty requests that crash servers, 25 a second, are kept from them, and nothing else is
    Given 4 gateways before 12 servers that are back 0.5 s after a crash
    When 20 deadly reads come by turns, 25 a second for 12 s, beside 20 reads a second
    Then each deadly read reached servers at most 3 times later than 3 s after its third crash
    And no other request was rejected as held
    And the callers of the other requests are all served again

  Scenario: A request that has crashed two servers and no more is served
    Given 3 gateways before 6 servers that are back 1.5 s after a crash, two crashes in all
    When a deadly read comes each 0.3 s for 4 s, beside 5 reads a second
    Then no request was rejected as held
    And the last deadly read was served

  Scenario: A request that crashes each second server that runs it is held
    Given 3 gateways before 8 servers that are back 0.5 s after a crash, each second run
    When the deadly request comes until it is held
    Then it crashed at most 7 servers

  Scenario: A VM that starts knows which requests are held
    Given 3 gateways before 6 servers that are back 1.5 s after a crash
    When the deadly request comes until it is held
    And one more gateway starts
    And the deadly request comes 3 times to each gateway
    Then each of these was rejected as held, not run, within 0.2 s and with a time to return

  Scenario: A request stays held when all VMs lose their memory together
    Given 3 gateways before 6 servers that are back 1.5 s after a crash
    When the deadly request comes until it is held
    And the store holds it
    And all gateways are killed and 3 others start
    And the deadly request comes 3 times to each gateway
    Then each of these was rejected as held, not run, within 0.2 s and with a time to return

  Scenario: What the store can't tell of a held request harms nothing else
    Given 3 gateways before 6 servers that are back 1.5 s after a crash
    When unreadable holds are written to the store
    And all gateways are killed and 3 others start
    Then reads are served at each gateway

  Scenario: Where all servers of a small pool crash, it serves as soon as they are back
    Given 3 gateways before 6 servers that are back 1 s after a crash
    When all 6 servers crash, by deadly reads that come at once
    And the servers have had 1.5 s to start again
    Then 30 reads are served within 1 s each

  Scenario: An operator lists what is held, lifts it, and the request runs again at every VM
    Given 3 gateways before 6 servers that are back 0.5 s after a crash, with metrics ports
    When the deadly request comes until it is held
    And the operator lists the held requests of the second VM
    Then the output names the request as held, with the servers that have ended
    When the servers' fault is mended
    And the operator lifts the verdict by the third VM
    Then the deadly read is served at each gateway within 1 s
    And the operator's list becomes empty within 5 s
    And the store holds nothing of it within 8 s

  Scenario Outline: The operator's command fails clearly if <problem>
    Given 1 gateways before 2 servers that are back 0.5 s after a crash, with metrics ports
    When the operator lifts "<key>" by <vm>
    Then the command's status is <status> and it prints "<text>"

    Examples:
      | problem             | key              | vm               | status | text                                   |
      | nothing is known    | 00000000000000ff | the first VM     | 1      | no crash of this request is known      |
      | the key is no key   | nonsense         | the first VM     | 5      | entry-unavailable                      |
      | the key is too long | ffffffffffffffffffff | the first VM | 5      | entry-unavailable                      |
      | the key is negative | -00000000000001  | the first VM     | 2      | No such option                         |
      | no VM listens       | 00000000000000ff | 127.0.0.1:1      | 5      | entry-unavailable                      |

  Scenario: The id of a rejected copy leads to the crashes that it was rejected for
    Given 3 gateways before 6 servers that are back 1.5 s after a crash
    When the deadly request comes until it is held
    And the deadly request comes 3 times to each gateway
    Then explaining a rejected copy from the logs of all VMs names 3 servers that ended and the verdict
