Feature: Operators check a document's tenants before VMs read it

  Scenario: Tenants that VMs accept are not told as faulty
    When the operator checks a document with the tenants gold and coal
    Then it ends with status 0 and prints '2 tenants with 3 keys, which VMs accept'
    And it prints no key

  Scenario Outline: Tenants with <fault> don't pass a check that VMs would refuse
    When a document is read whose tenants have <fault>
    Then it is refused, and neither the error nor the document's text shows a key
    When the operator checks that document
    Then it ends with status 1 and prints 'row 2: '
    And it ends with status 1 and prints 'which VMs refuse'
    And the check says what VMs say
    And it prints no key

    Examples:
      | fault                   |
      | a key of another        |
      | one name twice          |
      | a name that ends a line |
      | a key that ends a line  |
      | an empty key            |
      | a key that is a number  |
      | a row that is too long  |
      | keys that are one text  |
      | a negative rate         |

  Scenario Outline: A document with <fault> doesn't pass although VMs ignore that
    When the operator checks a document with <fault>
    Then VMs accept it
    And it ends with status 1 and prints '<text>'
    And it ends with status 1 and prints 'which VMs accept'
    And it prints no key

    Examples:
      | fault                   | text                                    |
      | an unknown field        | column 6 is unknown; known are name,    |
      | a column twice          | column 6 is a second "burst"            |
      | a key twice in a tenant | row 2: tenant "coal" has 1 of its keys twice |
      | no tenants              | no request needs a key                  |

  Scenario Outline: A file that is <fault> is not taken for a document
    When the operator checks a file that is "<text>"
    Then it ends with status <status> and prints '<said>'

    Examples:
      | fault        | text                | status | said           |
      | no JSON      | tenants: []         | 1      | malformed      |
      | no table     | {"tenants": [1]}    | 1      | Expected       |
      | nested       | {"tenants": {"columns": 5}} | 1 | Expected     |

  Scenario: All faults are told, and no more of them than can be read
    When the operator checks 150 tenants of one name, as JSON
    Then 149 faults are counted and 100 told, each with its row

  Scenario: A file that can't be read is not a faulty document
    When the operator checks a file that doesn't exist
    Then it ends with status 3 and prints 'No such file'
