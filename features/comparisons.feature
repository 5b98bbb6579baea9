Feature: backend servers compared with their peers

  Scenario: servers that perform alike are not avoided
    Given 10 servers that answer in 200 ms
    When 6 gateways report on them for 10 seconds
    Then no server is avoided

  Scenario: a server that fails many of its requests is avoided
    Given 10 servers that answer in 200 ms
    When one of them fails 50 percent of its requests
    And 6 gateways report on them for 2 seconds
    Then that server is avoided as failing

  Scenario: rare failures do not get a server avoided
    Given 10 servers that answer in 200 ms
    When one of them fails 10 percent of its requests
    And 6 gateways report on them for 10 seconds
    Then no server is avoided

  Scenario: a server that takes far longer than its peers is avoided
    Given 10 servers that answer in 200 ms
    When 6 gateways report on them for 7 seconds
    And one of them takes 4 times as long
    And 6 gateways report on them for 3 seconds
    Then that server is avoided as slow

  Scenario: a new server is not avoided as slow
    Given 10 servers that answer in 200 ms
    When one of them takes 4 times as long
    And 6 gateways report on them for 5 seconds
    Then no server is avoided

  Scenario: a service that fails as a whole is not avoided
    Given 10 servers that answer in 200 ms
    When all of them fail 90 percent of their requests
    And 6 gateways report on them for 4 seconds
    Then at most 4 servers are avoided

  Scenario: a failure rate that many servers share does not get them avoided
    Given 10 servers that answer in 200 ms
    When 6 of them fail 40 percent of their requests
    And 6 gateways report on them for 4 seconds
    Then no server is avoided

  Scenario: a server that has recovered is used again
    Given 10 servers that answer in 200 ms
    When one of them fails 50 percent of its requests
    And 6 gateways report on them for 3 seconds
    And all of them answer as before
    And 6 gateways report on them for 4 seconds
    Then no server is avoided

  Scenario: a server that fails again is avoided for longer
    Given 10 servers that answer in 200 ms
    When one of them fails 50 percent of its requests
    Then it is avoided for longer each time, up to 12 seconds

  Scenario: a gateway's report has a limited size
    Given a gateway that has used 200 servers
    Then its reports name 64, 64, 64, 8 and 0 servers
