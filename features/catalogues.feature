Feature: the catalogues in the docs
  What the program says of itself by number, name or code has a line on a page,
  and no page has a line for what the program does not say.

  Scenario Outline: a page and the code agree both ways
    Then the page <page> lists the <entries> of the code and no other

    Examples:
      | page         | entries       |
      | EVENTS.md    | log events    |
      | METRICS.md   | metrics       |
      | CALLERS.md   | refusal codes |
      | OPERATORS.md | exit statuses |

  Scenario: every verdict on a request has a refusal to tell it by
    Then the outcome table uses no code outside the catalogue

  Scenario: the README's links lead somewhere
    Then every link between the pages leads to a file
