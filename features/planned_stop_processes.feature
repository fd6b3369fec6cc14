Feature: A planned stop of a gateway process, whatever comes beside it, cuts off no post

  Background:
    Given a store and servers "s-1" and "s-2"
    And gateway processes on VMs 1, 2 and 3

  Scenario Outline: Posts that come until the process has ended run and are answered, or don't run
    Given the servers take 0.1 s, or 1.7 s for each third post
    When VM 1 gets SIGTERM and <beside>, and callers post every 0.1 s until it has ended
    Then every post that ran was answered with 200 within its time
    And no post that was told not to have run has run
    And VM 1 exits with status 0

    Examples:
      | beside                          |
      | nothing else                    |
      | a second SIGTERM after 2 s      |
      | SIGHUP and new settings after 1 s |
      | the store is away from then on  |

  Scenario: A process that gets SIGTERM as soon as it listens answers or runs nothing
    Given the servers take 0.1 s, or 1.7 s for each third post
    When VM 1 is killed
    And VM 1 is started again, gets SIGTERM as soon as it listens, and callers post every 0.1 s until it has ended
    Then every post that ran was answered with 200 within its time
    And no post that was told not to have run has run
    And VM 1 exits with status 0
