Feature: Data centres are taken into account only where the deployment asks for it

  Scenario Outline: A deployment that doesn't ask for it is served as by the build before
    Given data centres <way> ms apart, and a fleet that doesn't evacuate them
    When VMs serve a load of <load> and ping each other
    Then their probes, choices, hedges, retries and look-ups are those of build 109eea4, <digest>

    Examples:
      | way | load | digest           |
      | 0.5 | 0.7  | 4ce854e11eaf8178 |
      | 0.5 | 0.95 | 4f9f5ae02fc1026f |
      | 0.9 | 0.7  | b668e241dd5f0b70 |
      | 0.9 | 0.95 | 0970d3cf75809f67 |
      | 1.4 | 0.7  | 17a16cf610726a16 |
      | 1.4 | 0.95 | 4f423f05f2c8b19d |

  Scenario Outline: It is on where the setting, evacuations or the distance say so
    Given a VM with the setting <setting> and evacuations after <evacuate> ms
    Then it is <first> before a distance is known
    When it pings 12 VMs at a one-way distance of <way> ms for 8 s
    Then it is <state> for the reason <reason>

    Examples:
      | setting | evacuate | way | first | state | reason      |
      | auto    | 0        | 0.5 | off   | off   | near        |
      | auto    | 0        | 0.9 | off   | off   | near        |
      | auto    | 0        | 1.4 | off   | off   | near        |
      | auto    | 0        | 3.9 | off   | on    | far         |
      | auto    | 5000     | 0.5 | on    | on    | evacuations |
      | auto    | 5000     | 1.4 | on    | on    | evacuations |
      | on      | 0        | 0.5 | on    | on    | setting     |
      | off     | 5000     | 3.9 | off   | off   | setting     |

  Scenario Outline: Slow pings and busy VMs don't turn it on and off
    Given a VM with the setting auto and evacuations after 0 ms
    When it pings 12 VMs at a one-way distance of <way> ms for 600 s
    And in each minute all pings to <slow> take 100 ms longer for 15 s
    Then it was switched at most <most> times and is <state>

    Examples:
      | way | slow          | most | state |
      | 1.4 | one other     | 0    | off   |
      | 1.4 | all           | 0    | off   |
      | 2.0 | one other     | 1    | on    |
      | 3.9 | all           | 1    | on    |
      | 3.9 | the own one   | 1    | on    |

  Scenario: A far data centre in a fleet of 313 VMs in 31 is noticed
    Given a VM with the setting auto and evacuations after 0 ms
    When it pings 312 VMs in 31 data centres, one of them 3.9 ms away, for 60 s
    Then it is on for the reason far

  Scenario: A VM alone in its data centre knows the distance to the others
    Given a VM with the setting auto and evacuations after 0 ms
    When it pings 9 VMs that are all elsewhere, 3.9 ms away, for 8 s
    Then it is on for the reason far

  Scenario: A ping that was repeated doesn't count as a long way
    Given a VM whose ping was repeated before it was acknowledged
    Then no round trip is recorded

  Scenario Outline: The setting is read
    Given a settings file whose locality is <locality>
    Then its setting is <mode>

    Examples:
      | locality             | mode |
      | {}                   | auto |
      | {"enabled": "auto"}  | auto |
      | {"enabled": "on"}    | on   |
      | {"enabled": "off"}   | off  |
      | {"enabled": true}    | on   |
      | {"enabled": false}   | off  |

  Scenario: A setting that can't be read isn't taken for another
    Given a settings file whose locality is {"enabled": "sometimes"}
    Then the settings are rejected

  Scenario: Running gateways measure their distance, and changed settings take effect
    Given gateways in two data centres that know each other
    Then both know the distance after a few seconds and are off
    When the settings of one are changed to evacuate after 5000 ms
    Then it is on and the other is off
    And each has logged its last switch once
