Feature: whole path

  Scenario: a request of each rank is answered through separate processes
    Given a deployment of golau-beic with 3 control and 4 entry hosts
    When callers send 20 requests of each rank
    Then every request has a whole answer
    And no invariant is broken

  Scenario: a request without a contract's token is refused as not run
    Given a deployment of halvorsen with 3 control and 3 entry hosts
    When a caller sends a request with an unknown token
    Then it is refused as unauthorized and not run
