Feature: bytes from outside
  Whatever comes in, a parser returns or fails with a coded error of its own
  layer. Cases that were once found are kept under features/corpus and run
  first.

  Scenario Outline: any bytes end well
    Then parsing any <input> returns or fails with a coded error

    Examples:
      | input           |
      | pool file       |
      | route file      |
      | stored head     |
      | stored segment  |
      | packed segment  |
      | stored tables   |
      | peer bulletin   |
      | load report     |
      | request target  |
      | setting         |
      | certificate     |
