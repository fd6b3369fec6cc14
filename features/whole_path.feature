Feature: the whole request path
  A request goes from a caller through an entry to a backend server and back,
  and an edit of the tables takes effect on every entry.

  Scenario: requests are answered while a server is marked as leaving
    Given the demo's fleet
    When a caller reads 20 cards and posts 20 times
    And an edit marks card server 0 as leaving
    And a caller reads 20 cards and posts 20 times
    Then every request was answered with its own id
    And no request ran twice
    And card server 0 got no request after the edit

  Scenario: an unknown route is refused and not run
    Given the demo's fleet
    When a caller reads "/nowhere"
    Then the answer has status 404, outcome "not-run" and code "no-route"

  Scenario: an entry without tables refuses requests as not ready
    Given an entry with an empty store
    When a caller reads "/cards/1"
    Then the answer has status 503, outcome "not-run" and code "not-ready"

  Scenario: a large chunked upload reaches a backend server whole
    Given the demo's fleet
    When an aiohttp client uploads 5000000 bytes in chunks
    Then the backend server counted 5000000 bytes
