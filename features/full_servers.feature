Feature: backend servers that say for how long they want no request

  Scenario: an instance gets no request from a gateway for the time that its 503 names
    Given 3 control hosts and 2 gateways started for the first time
    And 6 instances of a service, of which one will refuse all requests
    When the operator puts a configuration
    Then the directory names both gateways
    And a request through each gateway gets a whole answer with its stamp
    When the instance refuses for 3 s each time, and requests go to one gateway
    Then at most 2 requests reach it from 0.5 s after a refusal to the end of its time
    And all requests are answered
