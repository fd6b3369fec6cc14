Feature: the two tables on the command line
  Operators read and edit the route table and the pool table in YAML. They see
  the differences before a change is accepted. An invalid file changes nothing,
  and each of its problems is reported with file, line and field.

  Scenario: both tables are initialized, read and edited
    Given a store and the files
      | name        | text                                                                                             |
      | pools.yaml  | pools: [{name: card, servers: [{name: card-0, host: 10.0.0.1, port: 80, slots: 4}]}]              |
      | routes.yaml | routes: [{name: cards, pool: card, path_prefix: /cards, methods: [GET]}]                         |
      | more.yaml   | pools: [{name: card, servers: [{name: card-0, host: 10.0.0.1, port: 80, slots: 4, leaving: true}, {name: card-1, host: 10.0.0.2, port: 80, slots: 3}]}] |
    When the operator runs "pools apply pools.yaml --initialize"
    Then the status is 0 and the output has "+ pool card" and "accepted as revision 1"
    When the operator runs "routes apply routes.yaml"
    Then the status is 0 and the output has "+ route cards" and "accepted as revision 2"
    When the operator runs "routes list"
    Then the status is 0 and the output has "PATH" and "/cards"
    When the operator runs "pools apply more.yaml --dry-run"
    Then the status is 0 and the output has "servers[card-0].leaving: false -> true" and "dry run; revision 2 is current"
    When the operator runs "pools apply more.yaml --json"
    Then the status is 0 and the JSON has "outcome" "accepted" and "revision" "3"
    When the operator runs "pools apply more.yaml"
    Then the status is 0 and the output has "no change" and "revision 3 is current"
    When the operator runs "pools show card"
    Then the status is 0 and the output has "name: card-1" and "leaving: true"
    When the operator runs "pools list"
    Then the status is 0 and the output has "LEAVING" and "card"
    When the operator runs "pools delete card"
    Then the status is 3 and the errors have "pool-in-use" and "cards"
    When the operator runs "routes delete cards"
    Then the status is 0 and the output has "- route cards" and "accepted as revision 4"
    When the operator runs "pools delete card --json"
    Then the status is 0 and the JSON has "outcome" "accepted" and "revision" "5"
    When the operator runs "pools show card"
    Then the status is 3 and the errors have "row-not-found" and "card"

  Scenario: the output of "show" can be applied
    Given a store and the files
      | name        | text                                                                                             |
      | pools.yaml  | pools: [{name: card, servers: [{name: card-0, host: '::1', port: 80, slots: 4}]}]                 |
    When the operator runs "pools apply pools.yaml --initialize"
    And the output of "pools show" is applied with "pools apply -"
    Then the status is 0 and the output has "no change" and "revision 1 is current"

  Scenario: an invalid file changes nothing and every problem is reported
    Given a store and the files
      | name       | text                                                                                                                                     |
      | bad.yaml   | pools:\n- name: card\n  servers:\n  - {name: a, host: 10.0.0.1, port: 80, slots: 4}\n- name: Two\n  servers:\n  - {name: b, host: card.lv, port: 0, slots: 4}\n |
    When the operator runs "pools apply bad.yaml"
    Then the status is 3 and the errors have "bad.yaml:5: pools[1].name" and "bad.yaml:7: pools[1].servers[0].host"
    When the operator runs "pools apply bad.yaml --json"
    Then the status is 3 and the JSON's problems are "5 pools[1].name, 7 pools[1].servers[0].host, 7 pools[1].servers[0].port"
    When the operator runs "pools list --json"
    Then the status is 0 and the JSON has "revision" "0" and "pools" "[]"

  Scenario: a route to a missing pool is rejected, also in a dry run
    Given a store and the files
      | name        | text                                  |
      | routes.yaml | routes: [{name: cards, pool: card}]   |
    When the operator runs "routes apply routes.yaml --dry-run"
    Then the status is 3 and the errors have "route-without-pool" and "card"
    When the operator runs "routes apply routes.yaml"
    Then the status is 3 and the errors have "route-without-pool" and "card"

  Scenario: an edit without the store reports that nothing was changed
    Given a store and the files
      | name        | text                                  |
      | routes.yaml | routes: [{name: cards, pool: card}]   |
    And the store has stopped
    When the operator runs "routes apply routes.yaml --json"
    Then the status is 5 and the JSON's error has the code "tables-unavailable"

  Scenario Outline: a file that cannot be read
    Given a store and the files
      | name       | text   |
      | bad.yaml   | <text> |
    When the operator runs "pools apply <file>"
    Then the status is 3 and the errors have "<code>" and "<place>"

    Examples:
      | file        | text           | code             | place       |
      | absent.yaml | x              | table-unreadable | absent.yaml |
      | .           | x              | table-unreadable | directory   |
      | bad.yaml    | a: 1\nb: \xff  | table-unreadable | bad.yaml:2  |
      | bad.yaml    |                | table-syntax     | bad.yaml:1  |

  Scenario Outline: an invalid pool file
    When a pool file with these lines is parsed
      """
      <lines>
      """
    Then its problems are "<problems>"

    Examples: syntax
      | lines                                    | problems                                    |
      | pools: [                                 | 2  not YAML                                 |
      | \tpools: []                              | 1  not YAML                                 |
      | pools: []\x00                            | 1  not YAML                                 |
      | --- {pools: []}\n--- {pools: []}         | 2  a second document                        |
      | pools: &a []                             | 1  the anchor &a is not allowed             |
      | pools: &a [*a]                           | 1  the anchor &a is not allowed; 1  the alias *a is not allowed |
      | pools: !!python/object/apply:os.abort [] | 1  the tag                                  |
      | x: [[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]] | 1  nested over 16 deep                      |

    Examples: the shape of the file
      | lines                       | problems                                             |
      | 5                           | 1  not a mapping of fields                           |
      | - 5                         | 1  not a mapping of fields                           |
      | routes: []                  | 1 pools is missing; 1 routes there is no such field  |
      | pools: 5                    | 1 pools not a list                                   |
      | pools: {a: 1}               | 1 pools not a list                                   |
      | pools: [5]                  | 1 pools[0] not a mapping of fields                   |
      | pools: []\npools: []        | 2 pools stands twice, first on line 1                |
      | pools: []\n5: 6             | 2  a key is not text                                 |

    Examples: fields of one row
      | lines                                                                                      | problems                                         |
      | pools:\n- servers: [{name: a, host: 10.0.0.1, port: 1, slots: 1}]                          | 2 pools[0].name is missing                       |
      | pools:\n- {name: a, servers: []}                                                           | 2 pools[0].servers the list is empty             |
      | pools:\n- {name: a, servers: [{name: a, host: 10.0.0.1, port: 70000, slots: 1}]}           | 2 pools[0].servers[0].port must be less than or equal to 65535, not 70000 |
      | pools:\n- {name: a, servers: [{name: a, host: 10.0.0.1, port: '80', slots: 1}]}            | 2 pools[0].servers[0].port must be a valid integer, not '80' |
      | pools:\n- {name: a, servers: [{name: a, host: 10.0.0.1, port: 1, slots: 1.5}]}             | 2 pools[0].servers[0].slots must be a valid integer, not 1.5 |
      | pools:\n- {name: a, servers: [{name: a, host: 10.0.0.1, port: 1, slots: 1, leaving: 1}]}   | 2 pools[0].servers[0].leaving must be a valid boolean, not 1 |
      | pools:\n- {name: a, servers: [{name: a, host: 10.0.0.1, port: 1, slots: 1}], retry_share: .nan} | 2 pools[0].retry_share must be a finite number, not nan |
      | pools:\n- {name: a, servers: [{name: a, host: 10.0.0.1, port: 1, slots: 1}], queue: 1}     | 2 pools[0].queue there is no such field          |
      | pools:\n- {name: a, servers: [{name: a, host: 10.0.0.1, port: 1, slots: 1}, {name: a, host: 10.0.0.2, port: 1, slots: 1}]} | 2 pools[0].servers[1].name "a" stands twice, first on line 2 |
      | pools:\n- {name: 2026-13-45, servers: [{name: a, host: 10.0.0.1, port: 1, slots: 1}]}      | 2 pools[0].name cannot be read as timestamp      |

    Examples: two rows
      | lines | problems |
      | pools:\n- name: a\n  servers: [{name: a, host: 10.0.0.1, port: 1, slots: 1}]\n- name: a\n  servers: [{name: a, host: 10.0.0.1, port: 0, slots: 1}] | 4 pools[1].name "a" stands twice, first on line 2; 5 pools[1].servers[0].port must be greater than or equal to 1, not 0 |

  Scenario: a file with many problems reports the number of those not shown
    When a pool file of 200 empty rows is parsed
    Then it has 400 problems, of which 50 are shown

  Scenario: any text is parsed into rows or into a list of problems
    Then every generated text gives rows or problems with a line

  Scenario Outline: the committed schema matches the models
    Then the committed schema of <table> is the output of "schema <table>"

    Examples:
      | table  |
      | pools  |
      | routes |
      | tenants |

  Scenario: the page on the format lists every field and its examples are valid
    Then the page TABLES.md lists each field of the models and no other
    And each example on the page TABLES.md can be parsed
