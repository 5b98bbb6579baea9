Feature: requests that are relayed to another gateway

  Scenario: a request that may have run is answered with the promise that it did not
    Given an isolated gateway and another one that refuses as overloaded
    When an idempotent request that may have run at a server is relayed
    Then its caller gets no promise that it was not run
