Feature: the one-file binary
  The entry VMs have no disks, and a process must not start other processes.
  The binary therefore runs as one process from one file and writes no files.

  @needs_compiler
  Scenario: the binary serves requests as one process and leaves no files behind
    Given a binary made by the build
    And a store with tables and a backend server
    When the binary runs as an entry in an empty folder
    Then a caller gets a response through it
    And the running process is the one that was started
    And it has no child processes and never had one
    And it has written no files
    And it has mapped no shared libraries except the C library's
    And it uses no io_uring and no named shared memory
    When the binary receives SIGTERM
    Then the binary exits with status 0
    And it has written no files

  @needs_compiler
  Scenario: the binary has all commands
    Given a binary made by the build
    When the binary runs "demo --seconds 1 --json"
    Then the binary exits with status 0
    And the demo's JSON reports no lost or doubled request
    When the binary runs "--help"
    Then the binary exits with status 0
    When the binary runs "experiment list"
    Then the binary exits with status 0
    When the binary runs "schema pools"
    Then the binary exits with status 0
    When the binary runs "completion bash"
    Then the binary exits with status 0
    When the binary runs "pools list"
    Then the binary exits with status 2
