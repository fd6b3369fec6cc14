Feature: Which requests are held for ending the servers that run them

  Scenario Outline: <case>
    Given these crashes, by the requests that ran there and the time: <crashes>
    And these runs that ended well: <completions>
    Then the held requests are: <held>

    Examples: one guilty request
      | case                                                | crashes                              | completions | held |
      | nothing is held after two crashes                   | g@0 g@0.3                            | -           | -    |
      | three crashes at different moments                  | g@0 g@0.3 g@0.5                      | -           | g    |
      | innocents ran beside it                             | g,a,b@0 g,c@0.3 g,d@0.5              | -           | g    |
      | an innocent was beside it twice                     | g,a@0 g,a@0.3 g@0.5                  | -           | g    |
      | an innocent was beside it each time                 | g,a@0 g,a@0.3 g,a@0.5                | -           | -    |
      | its next crashes tell them apart                    | g,a@0 g,a@0.3 g,a@0.5 g@0.9 g@1.3    | -           | g    |
      | one run of the innocent ends well                   | g,a@0 g,a@0.3 g,a@0.5                | a:1         | g    |
      | the innocent is beside another guilty one, too      | g,a@0 g,a@0.3 g,a@0.5 h,a@3          | -           | -    |
      | the innocent's next run ends well                   | g,a@0 g,a@0.3 g,a@0.5                | a:4         | g    |
      | it crashes each second server                       | g@0 g@1 g@2 g@3 g@4 g@5              | g:6         | g    |
      | it crashed three servers of six                     | g@0 g@1 g@2                          | g:3         | -    |
      | it crashed five servers of ten                      | g@0 g@1 g@2 g@3 g@4                  | g:5         | g    |

    Examples: several guilty requests
      | case                                                | crashes                              | completions | held |
      | two, one after the other                            | g@0 g@1 g@2 h@3 h@4 h@5              | -           | g h  |
      | two, by turns                                       | g@0 h@0.5 g@1 h@1.5 g@2 h@2.5        | -           | g h  |
      | two that share a crash                              | g@0 g@0.5 g,h@1 h@1.5 h@2 h@2.5      | -           | g h  |
      | an innocent was beside three                        | g@0 g@1 g,a@2 h@3 h@4 h,a@5 f@6 f@7 f,a@8 | -      | f g h |
      | an innocent was beside both                         | g@0 g@1 g,a@2 h,a@3 h,a@4 h@5        | -           | g h  |

    Examples: nobody guilty
      | case                                                | crashes                              | completions | held |
      | servers that end at the same moment                 | a@0 a@0.01 a@0.015 a@0.02            | -           | -    |
      | three moments among many other crashes              | a@0 b@1 c@2 d@3 a@4 e@5 f@6 a@7      | -           | -    |
      | a request that repeats itself and mostly ends well  | a@0 a@1 a@2 a@3                      | a:90        | -    |
      | a mass crash, then another                          | a,b@0 a,c@0.01 a,b@9 a,c@9.01        | -           | -    |

  Scenario: A crash that one VM alone has seen counts after a second without contradiction
    Given these crashes, by the requests that ran there and the time: g@0 g@0.3 g@0.5
    And only one VM has seen them
    Then the held requests 0.4 s after the last crash are: -
    And the held requests 1.1 s after the last crash are: g

  Scenario: A verdict waits until all VMs have told what ran on the servers
    Given these crashes, by the requests that ran there and the time: g@0 g@0.3 g@0.5
    Then a copy that comes 0.1 s after the last crash has to wait
    And the held requests 0.3 s after the last crash are: g

  Scenario: A crash counts no more once the process has responded
    Given these crashes, by the requests that ran there and the time: g@0 g@0.3 g@0.5
    And the second one is contradicted
    Then the held requests are: -

  Scenario: A held request is tried by one VM at a time, after a hold that doubles
    Given these crashes, by the requests that ran there and the time: g@0 g@0.3 g@0.5
    When the hold of 60 s has ended
    Then in each moment at most one of 13 VMs may run the request
    And each of the 13 VMs has a turn within 2 minutes
    When the try crashes a server
    Then the request is held for 120 s more

  Scenario: A request whose try ends well runs again
    Given these crashes, by the requests that ran there and the time: g@0 g@0.3 g@0.5
    When the hold of 60 s has ended
    And 4 of its runs end well
    Then the request may run without restriction

  Scenario: An operator lifts a verdict, and later crashes count anew
    Given these crashes, by the requests that ran there and the time: g@0 g@0.3 g@0.5
    When an operator lifts the verdict
    Then the held requests are: -
    When two more servers end as they run it
    Then the held requests are: -
    When two more servers end as they run it
    Then the held requests are: g

  Scenario: What a VM holds of crashes is bounded
    When 5000 servers end, each with 100 requests that no other ran
    Then at most 512 crashes with 32 requests each are held, and the latest
    And the crashes of a held request are among them

  Scenario: All of it is forgotten in time
    Given these crashes, by the requests that ran there and the time: g@0 g@0.3 g@0.5 a@1
    When an hour passes
    Then nothing is known of any crash
