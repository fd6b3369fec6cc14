@alone
Feature: Clients that keep to no limits end no process and take no more than its VM has

  Each scenario guards against a process that grows beyond the memory or the
  descriptors of its VM, hangs, or no longer serves ordinary callers. Bytes that
  the kernel has received for it count as its memory. Of these shapes, bytes sent
  one at a time did no harm on build 109eea4; each of the others did.

  Background:
    Given a store and servers that answer a crowd's requests
    And a gateway process with 80 MB and 500 descriptors, and bodies of up to 1 MB

  Scenario Outline: <place>: <count> clients <do>
    When at <place>, <count> clients <do>
    Then an ordinary read and an ordinary post are answered beside them
    When they have left
    Then an ordinary read and an ordinary post are answered
    And the process lives and has kept within its memory and descriptors

    Examples: bodies
      | count | do                                            | place     |
      | 90    | send a body in one piece, one byte short      | posts     |
      | 90    | send a body in small pieces, one byte short   | posts     |
      | 90    | send a body in chunks, without the last       | posts     |
      | 90    | send a body in chunks, without the last       | no route  |
      | 90    | send a body in one piece, one byte short      | readiness |
      | 90    | send a body in chunks, without the last       | look-ups  |
      | 90    | send a body in one piece, one byte short      | metrics   |
      | 90    | send a body in one piece, one byte short      | relay     |
      | 90    | send a body in chunks, without the last       | VM states |
      | 90    | send a body in chunks of one byte             | posts     |
      | 90    | declare a body of 1 GB and send it            | posts     |
      | 90    | send a chunked body without end               | posts     |
      | 90    | declare a body of 1 GB and send it            | relay     |

    Examples: fields
      | count | do                                            | place     |
      | 200   | send short fields, head not ended             | reads     |
      | 200   | send short fields, body one byte short        | posts     |
      | 200   | send short fields, body one byte short        | no route  |
      | 200   | send short fields, body one byte short        | readiness |
      | 200   | send short fields, body one byte short        | look-ups  |
      | 200   | send short fields, body one byte short        | relay     |
      | 200   | send short trailers without end               | posts     |
      | 200   | offer a protocol, with short fields           | posts     |

    Examples: pipelined requests
      | count | do                                            | place     |
      | 120   | send 4000 requests and read nothing           | reads     |
      | 120   | send 4000 requests and read nothing           | no route  |
      | 120   | send 4000 requests and read nothing           | readiness |
      | 120   | send 4000 requests and read nothing           | look-ups  |
      | 120   | send 4000 requests and read nothing           | metrics   |
      | 120   | send 4000 requests and read nothing           | VM states |
      | 120   | send 80 posts of 100 KB and read nothing      | posts     |
      | 120   | send 80 posts of 100 KB and read nothing      | relay     |
      | 40    | ask for 20 downloads of 1 MB and read nothing | reads     |

    Examples: little progress
      | count | do                                            | place     |
      | 400   | send nothing                                  | reads     |
      | 400   | send nothing                                  | readiness |
      | 400   | send nothing                                  | relay     |
      | 400   | send half a head                              | look-ups  |
      | 200   | send one byte at a time                       | posts     |
      | 40    | read 20 downloads a byte at a time            | reads     |

    Examples: mixtures
      | count | do                                            | place     |
      | 200   | do each of these in turn                      | posts     |
      | 200   | do each of these in turn                      | look-ups  |

  Scenario: The largest legal body, and an answer of that size, are served by the smallest VM
    Given a gateway process with 200 MB and 4100 descriptors, and bodies of up to 64 MiB
    When a caller posts 64 MiB
    Then it is answered with 200
    When a caller posts 64 MiB in chunks
    Then it is answered with 200
    When a caller reads an answer of 64 MiB
    Then it is answered with 200
    And the process lives and has kept within its memory and descriptors
