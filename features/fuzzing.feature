Feature: parsers of external input
  For any input a parser returns or raises a coded error of its own layer.
  Inputs that once broke a parser are kept under features/corpus and run first.

  Scenario Outline: a parser returns or raises a coded error for any input
    Then parsing any <input> returns or raises a coded error

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
