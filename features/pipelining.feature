Feature: pipelined requests of callers

  Scenario: requests behind a slow one are served at the same time
    Given a gateway that answers each request after its own time
    When a caller pipelines requests that take 400, 20, 20, 20 and 20 ms
    Then all of them are started within 200 ms
    And the answers arrive whole and in order

  Scenario: a slow answer holds back only those behind it
    Given a gateway that answers each request after its own time
    When a caller pipelines requests that take 20, 600 and 20 ms
    Then the first answer arrives within 300 ms
    And the answers arrive whole and in order

  Scenario: a request that may not be repeated is served behind others
    Given a gateway that answers each request after its own time
    When a caller pipelines requests that take 200 and 20 ms, the last with a body
    Then all of them are started within 100 ms
    And the answers arrive whole and in order

  Scenario: a connection has a limited number of requests in flight
    Given a gateway that answers each request after its own time
    When a caller pipelines 60 requests that take 20 ms
    Then the answers arrive whole and in order
    And 16 requests were served at the same time

  Scenario: the bodies of a connection are limited
    Given a gateway that answers each request after its own time
    When a caller pipelines 8 requests with bodies of 600000 bytes
    Then the answers arrive whole and in order
    And 2 requests were served at the same time

  Scenario: nothing behind a request that closes the connection is started
    Given a gateway that answers each request after its own time
    When a caller pipelines 2 requests, one that closes the connection and 3 more
    Then 3 answers arrive whole and in order, the last closes the connection
    And 3 requests were started

  Scenario: a malformed request behind good ones is answered last
    Given a gateway that answers each request after its own time
    When a caller pipelines 3 requests, a malformed one and 2 more
    Then 3 answers arrive whole and in order, then a 400 and the end
    And 3 requests were started

  Scenario: a planned stop answers all that it reads before it tells the close
    Given a gateway that answers each request after its own time
    When a caller pipelines requests that take 300, 20 and 20 ms
    And the gateway begins to stop and the caller pipelines 3 more
    Then 6 answers arrive whole and in order, the last closes the connection
    And 6 requests were started

  Scenario: a planned stop starts nothing behind the answer that tells the close
    Given a gateway that answers each request after its own time
    When a caller pipelines requests that take 100 ms
    And the gateway begins to stop and the caller sends 3 more with the first answer
    Then 1 answers arrive whole and in order, the last closes the connection
    And 1 requests were started

  Scenario: a caller that sends again during a stop gets its answer and the close
    Given a gateway that answers each request after its own time
    When the gateway begins to stop and the caller pipelines 1 more
    Then 1 answers arrive whole and in order, the last closes the connection

  Scenario: a new configuration closes nothing
    Given a gateway that answers each request after its own time
    When a caller pipelines requests that take 300, 20 and 20 ms
    And the limits for callers change
    Then the answers arrive whole and in order
    And a further request on the connection is answered

  Scenario Outline: a kept connection applies the limits that are in force
    Given a gateway that answers each request after its own time
    And callers may send <part> of <before> bytes
    When a caller pipelines requests that take 20 ms
    Then the answers arrive whole and in order
    When callers may send <part> of <after> bytes
    And the caller sends <part> of <sent> bytes on the same connection
    Then it is <verdict>

    Examples:
      | part   | before | after  | sent  | verdict  |
      | bodies | 4096   | 100000 | 7000  | answered |
      | bodies | 100000 | 4096   | 7000  | refused  |
      | heads  | 4096   | 100000 | 7000  | answered |
      | heads  | 100000 | 4096   | 7000  | refused  |

  Scenario Outline: a caller that sends too much is told so instead of a bare close
    Given a gateway that answers each request after its own time
    And callers may send <part> of 4096 bytes
    When a caller pipelines requests that take 200 and 20 ms
    And the caller sends <part> of <sent> bytes <way>
    Then 2 answers arrive whole and in order, then a problem <status> of kind <kind>
    And 2 requests were started

    Examples:
      | part   | sent   | way                 | status | kind           |
      | heads  | 4097   | in one piece        | 431    | head_too_large |
      | heads  | 900000 | in one piece        | 431    | head_too_large |
      | bodies | 4097   | in one piece        | 413    | body_too_large |
      | bodies | 900000 | in one piece        | 413    | body_too_large |
      | bodies | 4097   | in chunks           | 413    | body_too_large |
      | bodies | 4097   | once told to go on  | 413    | body_too_large |

  Scenario: a caller that sends a refused body to its end still reads the refusal
    Given a gateway that answers each request after its own time
    And callers may send bodies of 4096 bytes
    When the caller sends a body of 40000000 bytes for 2500 ms before it reads
    Then 0 answers arrive whole and in order, then a problem 413 of kind body_too_large

  Scenario Outline: chunks with extensions and trailers are read as RFC 9112 has it
    Given a gateway that answers each request after its own time
    When the caller sends the chunks <chunks> and one more request
    Then the gateway serves a body of <body> and the request behind it

    Examples:
      | chunks                                         | body   |
      | 3;a=b/abc/0//                                  | abc    |
      | 3 ; a="b;c"/abc/3/def/0;last//                 | abcdef |
      | 3/abc/0/X-Sum: 1/X-More: two//                 | abc    |
      | 0/X-Sum: 1//                                   | -      |
      | 003/abc/0//                                    | abc    |

  Scenario Outline: chunks that are malformed or too long are refused with a reason
    Given a gateway that answers each request after its own time
    And callers may send heads of 4096 bytes
    When the caller sends the chunks <chunks> and one more request
    Then 0 answers arrive whole and in order, then a problem <status> of kind <kind>
    And 0 requests were started

    Examples:
      | chunks                        | status | kind           |
      | 3 a=b/abc/0//                 | 400    | bad_request    |
      | -3/abc/0//                    | 400    | bad_request    |
      | 0x3/abc/0//                   | 400    | bad_request    |
      | 3;a\nb/abc/0//                | 400    | bad_request    |
      | 3/abc/0/No trailer//          | 400    | bad_request    |
      | 3/abc/0/X-Sum : 1//           | 400    | bad_request    |
      | 3/abcd/0//                    | 400    | bad_request    |
      | 3;FILLER/abc/0//              | 400    | bad_request    |
      | 3/abc/0/X-Sum: FILLER//       | 431    | head_too_large |

  Scenario: a chunk without a size is refused with a reason
    Given a gateway that answers each request after its own time
    When the caller sends a body whose chunk has no size
    Then 0 answers arrive whole and in order, then a problem 400 of kind bad_request

  Scenario Outline: a changed idle timeout holds for connections that are idle
    Given a gateway that answers each request after its own time
    And connections are closed after <before> ms without a request
    When a caller pipelines requests that take 20 ms
    Then the answers arrive whole and in order
    When connections are closed after <after> ms without a request
    Then <verdict>

    Examples:
      | before | after | verdict                                          |
      | 300    | 5000  | a request on the connection is served after 600 ms |
      | 5000   | 300   | the connection ends within 600 ms                |

  Scenario: an idle connection is closed, a busy one is not
    Given a gateway that answers each request after its own time
    And connections are closed after 200 ms without a request
    When a caller pipelines requests that take 700 ms
    Then the answers arrive whole and in order
    And the connection ends within 500 ms

  Scenario: a caller that leaves ends all of its requests
    Given a gateway that answers each request after its own time
    When a caller pipelines requests that take 900, 900 and 900 ms
    And the caller leaves
    Then no request is in flight within 200 ms

  Scenario: an interim response waits for the answers before it
    Given a gateway that answers each request after its own time
    When a caller pipelines a request of 200 ms and one that expects to continue
    Then the interim response follows the first answer

  Scenario: an answer that closes the connection counts as delivered
    Given a gateway that answers each request after its own time
    When a caller sends a request that closes the connection, and leaves with the answer
    Then one more request counts as 200 and none as left
