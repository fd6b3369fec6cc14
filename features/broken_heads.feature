Feature: An answer that breaks off is no answer, wherever it breaks off

  Scenario Outline: An answer <framed>, <preceded>, that is <ended> after any of its bytes
    When an answer <framed>, <preceded>, is <ended> after each number of its bytes
    Then none that lacks a byte is taken for an answer, and the whole one is if it could be

    Examples:
      | framed                 | preceded                 | ended  |
      | with a length          | alone                    | closed |
      | with a length          | alone                    | reset  |
      | without a length       | alone                    | closed |
      | without a length       | alone                    | reset  |
      | in chunks              | alone                    | closed |
      | with a length          | after an interim answer  | closed |
      | without a length       | after an interim answer  | closed |
      | without a length       | after an interim answer  | reset  |

  Scenario Outline: A caller gets no success where a server breaks off in the head, by way of <count> VMs
    Given a fleet of 3 gateways before 4 servers
    And each gateway has served reads and posts
    When callers post by way of <count> VMs and servers answer with the fault "<fault>"
    Then every post of them got 502, and ran at most once

    Examples:
      | count | fault       |
      | 1     | HEAD_CUT    |
      | 1     | INTERIM_CUT |
      | 1     | LINE_CUT    |
      | 2     | HEAD_CUT    |
      | 2     | INTERIM_CUT |
      | 2     | LINE_CUT    |
