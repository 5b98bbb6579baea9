Feature: requests through separate processes

  Scenario: requests of each rank are answered
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When callers send 20 requests of each rank
    Then every request has a whole answer
    And no invariant is broken

  Scenario: a request with a token of no contract is refused as not run
    Given a deployment of halvorsen with 3 control and 3 entry hosts
    When a caller sends a request with an unknown token
    Then it is refused as unauthorized and not run
