Feature: what marks a request, and tables that change under it
  A request keeps the pool that it was routed to. It may run twice only where
  neither the operator nor the caller says that it may not.

  Background:
    Given an entry before a scripted backend server

  Scenario: a pool is deleted while a body for it is on its way
    When the caller sends "POST /a HTTP/1.1|Host: x|Content-Length: 6||abc"
    And the entry has the head of the request
    And a revision without routes and pools comes into force
    And the caller sends "def"
    And the caller reads 1 answer
    Then every answer has status 200 and body "ok"
    And the server saw the bodies "abcdef"

  Scenario Outline: a mark as non-idempotent is never lifted by the other side
    Given the route is marked <route>
    When the caller sends a <method> marked <caller>
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
