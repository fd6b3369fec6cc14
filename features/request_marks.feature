Feature: idempotence flags, and table changes during a request
  A request keeps the pool that it was routed to. It may run twice only if
  neither the operator nor the caller flags it as non-idempotent.

  Background:
    Given an entry in front of a scripted backend server

  Scenario: a pool is deleted while the body of its request arrives
    When the caller sends "POST /a HTTP/1.1|Host: x|Content-Length: 6||abc"
    And the entry has received the head of the request
    And a revision without routes and pools is installed
    And the caller sends "def"
    And the caller reads 1 answer
    Then every answer has status 200 and body "ok"
    And the server saw the bodies "abcdef"

  Scenario Outline: a non-idempotent flag from either side takes precedence
    Given the flag of the route is <route>
    When the caller sends a <method> with the flag <caller>
    Then the request counts as <idempotent>

    Examples:
      | method | route          | caller         | idempotent     |
      | GET    | nothing        | nothing        | idempotent     |
      | POST   | nothing        | nothing        | non-idempotent |
      | POST   | nothing        | idempotent     | idempotent     |
      | POST   | idempotent     | nothing        | idempotent     |
      | POST   | idempotent     | non-idempotent | non-idempotent |
      | GET    | nothing        | non-idempotent | non-idempotent |
      | GET    | non-idempotent | nothing        | non-idempotent |
      | GET    | non-idempotent | idempotent     | non-idempotent |
      | POST   | non-idempotent | idempotent     | non-idempotent |
