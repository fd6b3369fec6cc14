Feature: settings
  Every setting is a flag and an environment variable. Invalid settings end the
  start with an error that names flag, variable, value and what is allowed.

  Scenario: all invalid settings are named in one error
    When "entry --host card.lv --log-level LOUD" is run with the variables
      | name                                | value |
      | ZINNIATURN_PORT                     | 70000 |
      | ZINNIATURN_ADDRESS_LIFETIME_SECONDS | nan   |
    Then it ends with status 2
    And its error names the settings
      | flag                       | variable                            | value   | allowed                              |
      | --name                     | ZINNIATURN_NAME                     |         | text that matches                    |
      | --store-url                | ZINNIATURN_STORE_URL                |         | http://ADDRESS:PORT                  |
      | --host                     | ZINNIATURN_HOST                     | card.lv | an IP address                        |
      | --port                     | ZINNIATURN_PORT                     | 70000   | a whole number from 0 to 65535       |
      | --address-lifetime-seconds | ZINNIATURN_ADDRESS_LIFETIME_SECONDS | nan     | a number over 0 to 3600              |
      | --log-level                | ZINNIATURN_LOG_LEVEL                | LOUD    | one of DEBUG, INFO, WARNING, ERROR   |

  Scenario: a flag overrides its variable
    When "entry --port 1" is run with the variables
      | name            | value |
      | ZINNIATURN_PORT | 70000 |
    Then it ends with status 2
    And its error has "ZINNIATURN_NAME"
    And its error does not have "ZINNIATURN_PORT"

  Scenario Outline: a value that is not allowed
    Then the setting "<field>" rejects "<value>"

    Examples:
      | field                    | value                  |
      | name                     | Entry One              |
      | name                     | -a                     |
      | data_center              | 1234567890123456789012345678901234567890123456789012345678901234 |
      | host                     | localhost              |
      | host                     | 300.0.0.1              |
      | port                     | -1                     |
      | port                     | 80.5                   |
      | port                     | eighty                 |
      | admin_host               | 1.2.3                  |
      | admin_port               | 65536                  |
      | store_url                | ftp://10.0.0.1         |
      | store_url                | 10.0.0.1:80            |
      | store_url                | http://                |
      | store_url                | http://10.0.0.1:99999  |
      | store_url                | http://u:p@10.0.0.1    |
      | store_url                | http://10.0.0.1/?a=b   |
      | policy                   | best                   |
      | policy                   | random,card=best       |
      | address_lifetime_seconds | 0                      |
      | address_lifetime_seconds | inf                    |
      | log_level                | debug                  |
      | seed                     | one                    |

  Scenario: callers and operators cannot share a port
    When "entry --name a --store-url http://127.0.0.1:9 --port 7000 --admin-port 7000" is run
    Then it ends with status 2
    And its error has "--port and --admin-port are the same"

  Scenario: an address that is in use
    Given a port that is in use
    When an entry is run on this port
    Then it ends with status 5
    And its error has "listen-failed"

  Scenario: an unknown variable is logged with the closest known one
    Given a port that is in use
    When an entry is run on this port with the variables
      | name            | value |
      | ZINNIATURN_PROT | 7000  |
    Then its error has the log event 104 with "closest" "ZINNIATURN_PORT"

  Scenario: the help describes every setting and its allowed values
    When "entry --help" is run
    Then it ends with status 0
    And its output describes every setting

  Scenario Outline: wrong usage
    When "<line>" is run
    Then it ends with status 2
    And its error has "<text>"

    Examples:
      | line                                            | text         |
      | nonsense                                        | nonsense     |
      | pools                                           | Usage        |
      | pools list                                      | --store-url  |
      | pools list --store-url nowhere                  | nowhere      |
      | pools delete --store-url http://127.0.0.1:9     | NAMES        |
      | demo --seconds 0                                | --seconds    |
      | completion tcsh                                 | tcsh         |
      | schema tables                                   | tables       |

  Scenario Outline: a completion script
    When "completion <shell>" is run
    Then it ends with status 0
    And its output has "_ZINNIATURN_COMPLETE"
    When <shell> requests completions for "zinniaturn pools"
    Then its output has "apply"

    Examples:
      | shell |
      | bash  |
      | zsh   |
      | fish  |
