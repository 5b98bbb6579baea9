Feature: answers whose head HTTP does not allow

  Scenario Outline: a head that RFC 9112 does not allow is passed on as an answer
    Given a gateway before a server that sends the line "<line>" with its answer
    Then each caller of a non-idempotent request gets 502, over new connections and kept ones
    And the requests before and behind it get their own whole answers
    And no caller of an idempotent request gets it, as a second server answers

    Examples:
      | line                              |
      | HTTP/1.1 000 OK                   |
      | HTTP/1.1 099 OK                   |
      | HTTP/1.1 600 OK                   |
      | HTTP/1.1 999 OK                   |
      | HTTP/1.1 2x0 OK                   |
      | HTTP/1.1 20 OK                    |
      | HTTP/1.1 0200 OK                  |
      | HTTP/1.1 -20 OK                   |
      | HTTP/1.1  200 OK                  |
      | HTTP/2.0 200 OK                   |
      | HTTP/1.10 200 OK                  |
      | http/1.1 200 OK                   |
      | HTTP/1.1 101 Switching Protocols  |
      | Two Words: 1                      |
      | No-Colon                          |
      | Spaced : 1                        |
      | :empty                            |
      | Control: a\x00b                   |
      | Control: a\x0bb                   |
      | Content-Length: 17                |
      | Content-Length: +16               |
      | Content-Length: 1_6               |
      | Content-Length: 0x10              |
      | Content-Length: -1                |
      | Content-Length: 16, 17            |
      | Transfer-Encoding: chunked        |
      | Transfer-Encoding: gzip           |

  Scenario: a server that sends such heads gets as many requests as the others
    Given a gateway before a server that sends the line "HTTP/1.1 000 OK" with its answer
    When a non-idempotent request has got such an answer
    Then the gateway avoids the server, and has evidence of its failure
