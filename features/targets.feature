Feature: targets of requests, which are passed on as they are or refused

  Scenario: a path with bytes that no URI has is refused by an entry host, not encoded anew
    Given an entry host that answers each request
    When a caller asks the entry host for a path with the bytes 636166c3a9
    Then it is refused as malformed with a problem, and reaches no server

  Scenario: a percent-encoded path is passed on as it is by an entry host
    Given an entry host that answers each request
    When a caller asks the entry host for a path with the bytes 63616625633325613925
    Then it is served with the path /caf%c3%a9%

  Scenario: a path with bytes that no URI has is refused by a gateway, not encoded anew
    Given a gateway that answers each request after its own time
    When the caller asks for a path with the bytes 636166c3a9
    Then the answer is a problem 400 of kind bad_request and nothing is started
    And a further request on the connection is answered

  Scenario: a percent-encoded path is passed on as it is by a gateway
    Given a gateway that answers each request after its own time
    When a caller pipelines a request for /20/caf%C3%A9%
    Then the answers arrive whole and in order
