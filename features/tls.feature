Feature: keys and certificates
  Entries and operators know each other by mutual TLS. Files are checked at
  the start and taken over while running, without cutting a connection.

  Scenario Outline: files that cannot be used are named with a code
    Given key files of which <fault>
    When the files are read
    Then it fails with code "<code>" and names the file "<file>"
    And the message shows nothing of the key

    Examples:
      | fault                           | code              | file            |
      | the certificate is missing      | tls-unreadable    | certificate.pem |
      | the certificate is text         | tls-malformed     | certificate.pem |
      | the key is text                 | tls-malformed     | key.pem         |
      | the key is another one's        | tls-mismatch      | key.pem         |
      | the certificate has expired     | tls-expired       | certificate.pem |
      | the certificate is not yet valid | tls-not-yet-valid | certificate.pem |

  Scenario: an admin address outside loopback needs keys
    When an entry is made with admin host "0.0.0.0" and no keys
    Then it is refused with code "admin-insecure"

  Scenario: entries and operators with keys reach each other, others do not
    Given two entries with keys that know each other
    Then each entry knows the other
    And an operator with keys reads the status of the first
    And an operator without keys is turned away
    And a peer without keys is turned away

  Scenario: changed keys are taken over without cutting a connection
    Given two entries with keys that know each other
    And a caller that is connected over TLS
    When the first entry's files get a new pair and are looked at
    Then a new connection sees the new certificate
    And the caller's old connection still gets answers
    And each entry knows the other

  Scenario: a bad pair leaves the old one in use
    Given two entries with keys that know each other
    When the first entry's key becomes another one's and is looked at
    Then a new connection sees the old certificate
