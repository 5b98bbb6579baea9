Feature: requests for an object on servers that have lately seen it

  Scenario: a popular object overloads its servers, or spreads without need
    Given 8 gateways and 26 servers that serve an object faster once they have seen it
    When 250 requests a second arrive for 30 s, 0.4 of them for one object
    Then at least 0.9 of the last 10 s are served by a server that has seen the object
    And at most 0.01 of the last 10 s are refused
    And no server gets more than 4 times the mean of the last 10 s
    And the popular object is on 4 to 14 servers in the last 10 s, another on 3 at most

  Scenario: an object that is no longer popular stays on many servers
    Given 8 gateways and 26 servers that serve an object faster once they have seen it
    When 250 requests a second arrive for 20 s, 0.4 of them for one object
    And 250 requests a second arrive for 40 s, 0.01 of them for one object
    Then the popular object is on 1 to 2 servers in the last 10 s, another on 3 at most
    And at least 0.95 of the last 10 s are served by a server that has seen the object

  Scenario: rare objects are taken for popular ones
    Given 8 gateways and 26 servers that serve an object faster once they have seen it
    When 250 requests a second arrive for 30 s, 0.01 of them for one object
    Then at least 0.95 of the last 10 s are served by a server that has seen the object
    And the popular object is on 1 to 3 servers in the last 10 s, another on 3 at most

  Scenario: a server that ends takes other objects from their servers
    Given 8 gateways and 26 servers that serve an object faster once they have seen it
    When 250 requests a second arrive for 20 s, 0.1 of them for one object
    And 2 servers end
    And 250 requests a second arrive for 15 s, 0.1 of them for one object
    Then at least 0.95 of the last 10 s are served by a server that has seen the object
    And at most 0.01 of the last 10 s are refused

  Scenario: a route that does not ask for it is served by preference
    Given 8 gateways and 26 servers that serve an object faster once they have seen it
    And its route is not sticky
    When 150 requests a second arrive for 20 s, 0.4 of them for one object
    Then no server gets more than 1.5 times the mean of the last 10 s
    And at most 0.01 of the last 10 s are refused
