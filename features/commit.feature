Feature: commits
  An accepted change is never lost, and nobody is told anything untrue of it.

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
    And Bolor's change was refused as "change-overlap"
    And the refusal shows "card" and "ledger"

  Scenario: a pool is deleted while another operator adds a route to it
    When Anna and Bolor both read the tables
    And Anna adds the route "books" to "ledger"
    And Bolor deletes the pool "ledger"
    Then Bolor's change was refused as "pool-in-use"

  Scenario: a route is added while another operator deletes its pool
    When Anna and Bolor both read the tables
    And Anna deletes the pool "ledger"
    And Bolor adds the route "books" to "ledger"
    Then Bolor's change was refused as "route-without-pool"

  Scenario: the reply to the swap is lost
    When Anna and Bolor both read the tables
    And the swap's reply is lost
    And Anna adds the route "assets" to "card"
    Then Anna's change was accepted
    And the tables have the routes "assets, cards"
    And the revision is 2

  Scenario: the store goes out in the middle of the swap and another change comes on top
    When Anna and Bolor both read the tables
    And the store goes out as soon as the swap took effect
    And Anna adds the route "assets" to "card"
    And the store is back
    And Bolor adds the route "books" to "ledger"
    Then Anna's change was refused as "change-unknown"
    And settling Anna's change says revision 2
    And the tables have the routes "assets, books, cards"

  Scenario: the store goes out before the swap took effect
    When Anna and Bolor both read the tables
    And the store goes out as soon as the swap arrives
    And Anna adds the route "assets" to "card"
    And the store is back
    Then Anna's change was refused as "change-unknown"
    And settling Anna's change says that it was not accepted
    And the swap that was under way fails when it arrives late

  Scenario: an empty store is not initialized by accident
    When the store is reset to nothing
    And Anna and Bolor both read the tables
    And Anna adds the pool "card" without leave to initialize
    Then Anna's change was refused as "tables-not-initialized"

  Scenario: the audit trail and the garbage stay bounded
    When 200 changes are accepted
    Then settling the first of them says revision 2
    And the store holds at most 48 segments for each bucket in use
    And every key of a segment is known to the head or to an intent

  Scenario: any two changes land together or the second is refused
    Then whatever two operators change, no accepted change is lost
