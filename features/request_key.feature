Feature: Which requests count as the same

  Scenario Outline: Two requests are <verdict> if they differ in <difference>
    Then a request and one with another <difference> have <verdict>

    Examples:
      | difference            | verdict        |
      | id of the attempt     | the same key   |
      | time left             | the same key   |
      | connection field      | the same key   |
      | framing               | the same key   |
      | order of fields       | the same key   |
      | method                | different keys |
      | host                  | different keys |
      | path                  | different keys |
      | query                 | different keys |
      | caller's credentials  | different keys |
      | caller's cookie       | different keys |
      | body                  | different keys |
      | boundary of the parts | different keys |

  Scenario: A key survives being logged
    Then the key of a request can be read from its text

  Scenario Outline: A text that is no key is not taken for one
    Then "<text>" is rejected as a key

    Examples:
      | text                 |
      | nonsense             |
      | -000000000000001     |
      | 8000000000000000     |
      | ffffffffffffffffffff |
      | ff                   |
      | 00000000000000FF     |
