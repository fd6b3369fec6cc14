Feature: Each client that is refused is counted with the reason and its address

  Guards against a refusal that no counter and no log line explains.

  Scenario Outline: A client that <does> is counted as <loss>
    Given a listener for bodies of up to 100 bytes and heads within 0.2 s
    When one of its clients <does>
    Then it gets <status> and is counted once as "<loss>"

    Examples:
      | does                    | status | loss             |
      | declares 101 bytes      | 413    | client_too_large |
      | sends a head of 20 KB   | 431    | client_too_large |
      | sends half a head       | 408    | client_too_slow  |
      | sends no HTTP           | 400    | client_malformed |

  Scenario: Clients that only had to wait take no place among the addresses
    When 20 clients wait and then one of another address is refused
    Then only the refused one is named
