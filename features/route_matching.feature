Feature: which route a request belongs to
  The matcher of a revision finds the route that a scan of all routes finds.

  Scenario: the matcher agrees with a scan
    Given any routes over few hosts, prefixes, and methods
    Then the matcher finds for any request the route that a scan finds
