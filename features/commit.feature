Feature: commits
  No accepted change is lost, and operators get the true outcome of each change.

  Background:
    Given a store with the pools "card" and "ledger" and a route "cards" to "card"

  Scenario: two operators edit different rows at once
    When Anna and Bolor both read the tables
    And Anna adds the route "assets" to "card"
    And Bolor adds the route "books" to "ledger"
    Then both changes were accepted
    And the tables have the routes "assets, books, cards"

  Scenario: two operators edit the same row at once
    When Anna and Bolor both read the tables
    And Anna adds the route "assets" to "card"
    And Bolor adds the route "assets" to "ledger"
    Then Anna's change was accepted
    And Bolor's change was rejected as "change-overlap"
    And the error shows "card" and "ledger"

  Scenario: a pool is deleted while another operator adds a route to it
    When Anna and Bolor both read the tables
    And Anna adds the route "books" to "ledger"
    And Bolor deletes the pool "ledger"
    Then Bolor's change was rejected as "pool-in-use"

  Scenario: a route is added while another operator deletes its pool
    When Anna and Bolor both read the tables
    And Anna deletes the pool "ledger"
    And Bolor adds the route "books" to "ledger"
    Then Bolor's change was rejected as "route-without-pool"

  Scenario: the reply to the compare-and-swap of the head is lost
    When Anna and Bolor both read the tables
    And the swap's reply is lost
    And Anna adds the route "assets" to "card"
    Then Anna's change was accepted
    And the tables have the routes "assets, cards"
    And the revision is 2

  Scenario: the store becomes unavailable right after the swap, and another change follows
    When Anna and Bolor both read the tables
    And the store becomes unavailable right after the swap takes effect
    And Anna adds the route "assets" to "card"
    And the store is available again
    And Bolor adds the route "books" to "ledger"
    Then Anna's change was rejected as "change-unknown"
    And settling Anna's change reports revision 2
    And the tables have the routes "assets, books, cards"

  Scenario: the store becomes unavailable before the swap takes effect
    When Anna and Bolor both read the tables
    And the store becomes unavailable when the swap arrives
    And Anna adds the route "assets" to "card"
    And the store is available again
    Then Anna's change was rejected as "change-unknown"
    And settling Anna's change reports that it was not accepted
    And the swap in flight fails when it arrives late

  Scenario: an empty store is not initialized by accident
    When the store loses all its keys
    And Anna and Bolor both read the tables
    And Anna adds the pool "card" without permission to initialize
    Then Anna's change was rejected as "tables-not-initialized"

  Scenario: the audit trail and the number of old segments stay bounded
    When 200 changes are accepted
    Then settling the first of them reports revision 2
    And the store holds at most 48 segments for each bucket in use
    And every segment key is listed in the head or in an intent

  Scenario: two concurrent changes are both accepted, or the second is rejected
    Then no accepted change is lost for any two edits of two operators
