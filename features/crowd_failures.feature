@alone
Feature: A process beside a crowd still stops in time, and serves without a store

  Guards against a stop that waits for clients outside the limits, and against a
  crowd that an outage of the store lets grow.

  Background:
    Given a store and servers that answer a crowd's requests
    And a gateway process with 80 MB and 500 descriptors, and bodies of up to 1 MB

  Scenario Outline: SIGTERM beside <count> clients that <do>
    When at <place>, <count> clients <do>
    And the process is told to stop
    Then it ends within its grace period

    Examples:
      | count | do                                       | place |
      | 120   | send 80 posts of 100 KB and read nothing | posts |
      | 200   | do each of these in turn                 | posts |

  Scenario: No store beside a mixture of clients
    When the store gives no reply
    And at posts, 200 clients do each of these in turn
    Then an ordinary read and an ordinary post are answered beside them
    And the process lives and has kept within its memory and descriptors
