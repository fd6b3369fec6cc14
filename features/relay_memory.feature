@alone
Feature: A request that one VM passes on to another is held once by each of them

  Guards against a process that grows beyond its VM's memory as it holds a large
  body and the message that carries it, or a response and the reply. A VM of
  150 MB has room for one such body, not for two.

  Background:
    Given a store and servers that answer a crowd's requests
    And two gateway processes with 150 MB, and servers that respond only to the second

  Scenario Outline: A caller <does> by way of another VM
    When a caller <does>, again after each 503
    Then it is answered with 200
    And both processes live and have kept within their memory and descriptors

    Examples:
      | does                      |
      | posts 64 MiB              |
      | posts 64 MiB in chunks    |
      | reads an answer of 64 MiB |
