Feature: the one-file binary
  The entry VMs have no disks, and a process starts no other process. So the
  binary runs as one process from one file and writes no file.

  @needs_compiler
  Scenario: the binary serves requests as one process and leaves no file behind
    Given a binary made by the build
    And a store with tables and a backend server
    When the binary runs as an entry in an empty folder
    Then a caller gets an answer through it
    And it is the process that was started
    And it has no child and never had one
    And it has written no file
    And it has mapped no shared library but the C library's
    And it uses no io_uring and no named shared memory
    When it is told to stop
    Then it ends with the status 0
    And it has written no file

  @needs_compiler
  Scenario: the binary has the whole command line
    Given a binary made by the build
    When the binary runs "demo --seconds 1 --json"
    Then it ends with the status 0
    And the demo's JSON says that nothing was lost
    When the binary runs "--help"
    Then it ends with the status 0
    When the binary runs "experiment list"
    Then it ends with the status 0
    When the binary runs "schema pools"
    Then it ends with the status 0
    When the binary runs "completion bash"
    Then it ends with the status 0
    When the binary runs "pools list"
    Then it ends with the status 2
