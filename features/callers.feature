Feature: callers' connections at a graceful stop

  Scenario: a graceful stop truncates no answer that is still being sent
    Given a gateway whose answers have 4000000 bytes
    And a caller that sends a request and reads nothing yet
    When the gateway closes its idle connections
    Then the caller reads the whole answer
    And the gateway has no request in flight

  Scenario: a graceful stop truncates no answer that a slow caller is reading
    Given a gateway whose answers have 8000000 bytes
    And a caller that sends a request and reads nothing yet
    When the caller has read the head of the answer
    And the gateway closes its idle connections
    Then the gateway has a request in flight
    And the caller reads the whole answer
    And the gateway has no request in flight

  Scenario: a graceful stop closes a connection whose answer was sent
    Given a gateway whose answers have 10 bytes
    And a caller that has read its answer
    When the gateway closes its idle connections
    Then the caller's connection is closed

  Scenario: no request is started on a connection that is being closed
    Given a gateway whose answers have 10 bytes
    And 20 callers with idle connections
    When the gateway closes its idle connections as all callers send again
    Then each request that was started got its answer

  Scenario Outline: a request read just before the close is answered if it was started
    Given a gateway whose answers have 10 bytes
    And 20 callers with idle connections
    When all callers send and <rounds> iterations of the loop later it closes them
    Then each request that was started got its answer

    Examples:
      | rounds |
      | 1      |
      | 2      |
      | 3      |
      | 4      |
      | 5      |
      | 6      |
      | 8      |

  Scenario: connections that wait to be accepted when a gateway stops are answered
    Given a gateway whose answers have 10 bytes
    When 50 callers connect and send while the gateway is busy, and it stops
    Then all 50 callers got an answer

  Scenario: a request that ends with an unforeseen error leaves no caller without an answer
    Given a gateway in which a request ends with an unforeseen error
    Then its caller gets 500, and the next one on the connection too

  Scenario: a connection that ends after its answer truncates no answer in pieces
    Given a gateway whose answers have 8000000 bytes in pieces of 65536
    And a caller whose only request is sent, and who reads nothing yet
    When the caller has read the head of the answer
    And the answer has waited for 50 ms
    Then the gateway has a request in flight
    And the caller reads the whole answer
    And the gateway has no request in flight
