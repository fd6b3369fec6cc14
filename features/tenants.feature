Feature: Tenants, their keys and what a request without a valid key gets

  Scenario: The document's tenants are found by each of their keys
    When a document with tenants is read
    Then each key finds its tenant with the priority and allowance of its row
    And a key of no tenant, a part of a key and an empty key find none
    And the public route is the one that the document says

  Scenario: A document without tenants asks for no key
    When a document without tenants is read
    Then it has no table of tenants and no public route

  Scenario Outline: A document whose tenants have <fault> is refused without showing a key
    When a document is read whose tenants have <fault>
    Then it is refused, and neither the error nor the document's text shows a key

    Examples:
      | fault                       |
      | a key of another             |
      | one name twice              |
      | a name that ends a line     |
      | a key that ends a line      |
      | an empty key                |
      | a key that is a number      |
      | a row that is too long      |
      | keys that are one text      |
      | a negative rate             |
