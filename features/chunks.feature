Feature: bodies in chunks, as they are read from a connection

  Scenario Outline: short chunks that are read together change a body, or what follows it
    Given 40 bodies in chunks of <least> to <most> bytes, with <extras>
    When each arrives in pieces of 1 to <piece> bytes, with a request behind it
    Then each body is read as it was sent
    And the request behind it is left to be read

    Examples:
      | least | most  | piece | extras     |
      | 1     | 2     | 5     | nothing    |
      | 1     | 15    | 4000  | nothing    |
      | 1     | 40    | 300   | nothing    |
      | 1     | 3     | 70000 | nothing    |
      | 14    | 17    | 900   | extensions |
      | 1     | 15    | 900   | extensions |
      | 1     | 15    | 900   | trailers   |
      | 1     | 3000  | 9000  | trailers   |

  Scenario Outline: malformed short chunks are read as proper ones
    When a body of <chunks> is read
    Then the body is refused as malformed

    Examples:
      | chunks                        |
      | 2\r\nxxx\r\n0\r\n\r\n         |
      | 2\r\nxx\r\n2\r\nx\r\n0\r\n\r\n |
      | 2\r\nxx\r\n-1\r\nx\r\n        |
      | 2\r\nxx2\r\nxx\r\n0\r\n\r\n   |
      | 2\nxx\r\n0\r\n\r\n            |
