Feature: All VMs together keep to the limit that a backend server names

  Scenario Outline: VMs that were told a limit do not each send what their own callers ask for
    Given 5 gateways and the servers "s-1" and "s-2"
    And server "s-1" names a limit of "2" and "s-2" names <other>
    And "s-2" has <slots> slots
    When each gateway gets 10 reads a second for 8 s
    Then "s-1" got no more in any 4 s than the rule allows for a limit of 2
    And "s-1" got at least 1 request a second
    And every read got 200 or was told when to come back

    Examples: "s-2" can't carry all reads
      | other        | slots |
      | none         | 1     |
      | a limit of 3 | 4     |

  Scenario: A server's limit turns no read away while another server has room
    Given 5 gateways and the servers "s-1" and "s-2"
    And server "s-1" names a limit of "2" and "s-2" names none
    When each gateway gets 10 reads a second for 8 s
    Then "s-1" got no more in any 4 s than the rule allows for a limit of 2
    And every read got 200

  Scenario Outline: A server that says it leaves gets no request from any VM, store or no store
    Given 3 gateways and the servers "s-1" and "s-2"
    And <store>
    And the answers of "s-1" say that it leaves
    When each gateway gets 10 reads a second for 1 s
    And each gateway gets 10 reads a second for 2 s
    Then "s-1" got no request in the last 2 s
    And every read got 200 or was told when to come back

    Examples:
      | store                          |
      | the store responds             |
      | the store gives no response    |

  Scenario: A server that no longer says that it leaves is used again
    Given 3 gateways and the servers "s-1" and "s-2"
    And the answers of "s-1" say that it leaves
    When each gateway gets 10 reads a second for 1 s
    And the answers of "s-1" no longer say so
    And the time is noted
    Then reads arrive until "s-1" has got another request

  Scenario: It is used again also if the VM that heard it last is gone
    Given 3 gateways and the servers "s-1" and "s-2"
    And another VM, which is gone, has told all that "s-1" leaves
    When the time is noted
    Then reads arrive until "s-1" has got another request

  Scenario: An answer without a signature takes no server out of use
    Given 3 gateways and the servers "s-1" and "s-2"
    And each answer of "s-1" lacks its signature and says that it leaves
    When each gateway gets 10 reads a second for 1 s
    Then no gateway takes "s-1" for leaving

  Scenario: A server that asks for a pause gets nothing meanwhile, not even probes
    Given 3 gateways and the servers "s-1" and "s-2"
    And server "s-1" rejects all requests with a pause of "30"
    When reads arrive until every gateway knows that "s-1" wants a pause
    And server "s-1" takes requests again
    And the time is noted
    And each gateway gets 10 reads a second for 1.5 s
    Then "s-1" got no request and no probe since the noted time

  Scenario: A request is served elsewhere where a server's first word is a pause
    Given 1 gateways and the servers "s-1" and "s-2"
    And server "s-1" rejects all requests with a pause of "0.2"
    When reads arrive until every gateway knows that "s-1" wants a pause
    And each gateway gets 20 reads a second for 1 s
    Then no gateway has logged an unexpected exception
    And the log tells the pause of "s-1" without an age

  Scenario: A pause counts also where a rejection lacks its mark
    Given 3 gateways and the servers "s-1" and "s-2"
    And server "s-1" answers all requests with an unmarked 503 and a pause of "30"
    When reads arrive until every gateway knows that "s-1" wants a pause
    And server "s-1" takes requests again
    And the time is noted
    And each gateway gets 10 reads a second for 1.5 s
    Then "s-1" got no request and no probe since the noted time

  Scenario: A server is used again after its pause
    Given 3 gateways and the servers "s-1" and "s-2"
    And server "s-1" rejects all requests with a pause of "0.5"
    When reads arrive until every gateway knows that "s-1" wants a pause
    And server "s-1" takes requests again
    And the time is noted
    Then reads arrive until "s-1" has got another request

  Scenario: A VM that starts again knows which servers said that they leave
    Given 3 gateways and the servers "s-1" and "s-2"
    And the answers of "s-1" say that it leaves
    When each gateway gets 10 reads a second for 1 s
    And a fourth gateway starts
    Then the fourth gateway takes "s-1" for leaving without having asked it

  Scenario: Nothing is sent with a permit that expired while the VM was paused
    Given 1 gateways and the servers "s-1" and "s-2"
    And server "s-1" names a limit of "2" and "s-2" names none
    When each gateway gets 10 reads a second for 1 s
    And the gateway's clock jumps by 5 s between a placement and its send
    Then the request was not sent to the server of the placement
