Feature: exchanges with backend servers over persistent connections

  Scenario: a connection is reused for the next request
    Given a server that answers each request
    When 5 requests are sent one after the other
    Then each gets its own answer over 1 connection

  Scenario: no request for a new start of a server goes over a connection to an earlier one
    Given a server that answers each request
    When 2 requests are sent one after the other
    And the server starts again under its name
    And a request is sent to the new start
    Then each gets its own answer over 2 connections

  Scenario Outline: an incomplete, invalid or foreign answer counts as broken
    Given a server that <fault>
    When a request is sent
    Then it fails as broken

    Examples:
      | fault                                |
      | breaks off its answer                |
      | breaks off a chunked answer          |
      | resets a chunked answer              |
      | sends bytes that are no answer       |
      | resets an answer without a length    |
      | answers for another request only     |

  Scenario: an answer without a length ends when its connection closes
    Given a server that ends its answer by closing
    When a request is sent
    Then it has its own answer

  Scenario: a second answer that arrives late is discarded
    Given a server that answers each request twice
    When 4 requests are sent one after the other
    Then each has its own answer

  Scenario: an answer that arrives before the body was sent is delivered
    Given a server that answers before it has read the body
    When a request with a body of 8000000 bytes is sent
    Then it has its own answer

  Scenario: a connection that a server closes is not used again
    Given a server that closes each connection after its answer
    When 3 requests are sent one after the other
    Then each gets its own answer over 3 connections

  Scenario: a request to a server that never answers ends at its deadline
    Given a server that never answers
    When a request is sent
    Then it fails as too_late

  Scenario: a request to an address without a server is not sent
    Given no server at the address
    When a request is sent
    Then it fails as not_connected

  Scenario: a request whose time passed while it connected is not sent
    Given a server that answers each request
    When a request is sent whose time has just passed
    Then the request was not sent, and the server got none
    When 2 requests are sent one after the other
    Then each gets its own answer over 1 connection

  Scenario: a cancelled request closes its connection to the server
    Given a server that never answers
    When a request is sent and cancelled
    Then the server sees its connection closed

  Scenario Outline: an earlier refusal that is sent again is no answer to the next request
    Given a server that <fault>
    When 3 requests are sent one after the other
    Then each has its own answer

    Examples:
      | fault                                                     |
      | sends a refusal without an id before the second answer    |
      | sends an earlier refusal before the second answer         |

  Scenario: a refusal of an earlier request alone is no promise
    Given a server that sends an earlier refusal instead of the second answer
    When 2 requests are sent one after the other
    Then the second one has no answer

  Scenario Outline: answers without end leave memory and service to the others
    Given a server that <fault>
    When 8 requests are sent to it at once, and 20 to a server that answers each request
    Then the 20 have their own answers
    And the 8 fail, the memory of the process grew by at most 100 MB

    Examples:
      | fault                                      |
      | sends a body without end                   |
      | sends chunks without end                   |
      | sends a head without end                   |
      | sends interim responses without end        |
