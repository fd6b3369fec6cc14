Feature: What others write costs its own item alone, whatever its bytes are

  Entries, documents, messages and header fields come from programs that nobody
  here controls. Each reader is tried with bytes of any kind, JSON of any depth,
  numbers of any size, and each field of a sound item replaced.

  Scenario Outline: Sound entries of the store hold beside any <foreign>
    Then any <foreign> beside sound entries leaves those in force here and on a VM that is told of them

    Examples:
      | foreign         |
      | server entries  |
      | VM records      |
      | held requests   |
      | bytes           |

  Scenario Outline: A reader of <input> returns what it can use or raises its layer's error
    Then reading any <input> gives usable figures or its own error

    Examples:
      | input            |
      | document         |
      | settings file    |
      | store reply      |
      | server statement |
      | caller's timeout |
      | relayed request  |
      | relayed reply    |
      | fleet state      |
      | VM table         |

  Scenario: Any datagram leaves a VM able to hear the next one
    Given a platform with servers "s-1" and "s-2" and a gateway
    Then after each of 3000 odd datagrams, with seed 1, it answers a ping and can tell what it knows

  Scenario: One unreadable entry keeps no VM from new tables, and is logged once
    Given a platform with servers "s-1" and "s-2" and a gateway
    When another writer stores an entry of 1200 nested lists, which no reader decodes
    And the operator's document changes
    Then the gateway applies it
    And the unreadable entry was logged once, with its key and cause, and counted once
    When the unreadable entry is mended, and broken again
    Then the unreadable entry was logged twice

  Scenario: A read that brings no usable state counts as failed
    Given a platform with servers "s-1" and "s-2" and a gateway
    When installing what was read fails for 1 s with an unexpected exception
    Then the gateway has logged that it gets nothing from the store, with the cause, and later that it does again
    And the log reports the exception
