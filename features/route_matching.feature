Feature: matching requests to routes
  The matcher of a revision finds the same route as a scan of all routes.

  Scenario: the matcher agrees with a scan
    Given any routes over few hosts, prefixes and methods
    Then the matcher finds the same route as a scan for any request
