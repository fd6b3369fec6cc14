Feature: the catalogues in the documentation
  Every event number, metric name, rejection code and exit status of the program
  is listed in the documentation, and nothing else is.

  Scenario Outline: a page and the code list the same entries
    Then the page <page> lists the <entries> of the code and no other

    Examples:
      | page         | entries       |
      | EVENTS.md    | log events    |
      | METRICS.md   | metrics       |
      | CALLERS.md   | rejection codes |
      | OPERATORS.md | exit statuses |

  Scenario: every verdict on a request has a rejection code in the catalogue
    Then the outcome table uses no code outside the catalogue

  Scenario: the links between the pages lead to files
    Then every link between the pages leads to a file
