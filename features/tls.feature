Feature: TLS keys and certificates
  Entries and operators authenticate each other with mutual TLS. Key files are
  checked at startup and reloaded on change, without closing a connection.

  Scenario Outline: Key files that cannot be used are reported with a code
    Given key files with a fault: <fault>
    When the files are read
    Then it fails with code "<code>" and mentions the file "<file>"
    And the message does not contain the key

    Examples:
      | fault                             | code              | file            |
      | the certificate is missing        | tls-unreadable    | certificate.pem |
      | the certificate is plain text     | tls-malformed     | certificate.pem |
      | the key is plain text             | tls-malformed     | key.pem         |
      | the key is of another certificate | tls-mismatch      | key.pem         |
      | the certificate has expired       | tls-expired       | certificate.pem |
      | the certificate is not yet valid  | tls-not-yet-valid | certificate.pem |

  Scenario: An admin address that is not on loopback needs keys
    When an entry is created with admin host "0.0.0.0" and no keys
    Then it fails with code "admin-insecure"

  Scenario: Connections with keys are accepted and those without are rejected
    Given two entries with keys that are each other's peers
    Then each entry sees the other as live
    And an operator with keys reads the status of the first
    And an operator without keys is rejected
    And a peer without keys is rejected

  Scenario: Changed keys are reloaded without closing a connection
    Given two entries with keys that are each other's peers
    And a caller that is connected over TLS
    When the first entry's files are replaced by a new pair and reloaded
    Then a new connection gets the new certificate
    And the caller's old connection still gets responses
    And each entry sees the other as live

  Scenario: The old pair stays in use if the new one is invalid
    Given two entries with keys that are each other's peers
    When the first entry's key is replaced by that of another certificate and reloaded
    Then a new connection gets the old certificate
