Feature: a gateway's choice of backend servers

  Scenario: requests for one object go to one server while it has free slots
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When 200 requests arrive for 20 objects
    Then each object was served by one server of cymru

  Scenario: an object moves to its second server and to no third
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When all servers run 1 request for each slot
    And the first server of an object is full
    Then its next requests go to one other server
    When that one is full too
    Then the next request for it is refused

  Scenario: an idle server takes objects whose own servers are full
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When both servers of an object are full
    Then its next request goes to an idle server of the region

  Scenario: shares send some of the objects to another region
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    And shares of 600 to cymru and 400 to lloegr
    When 2000 requests arrive for 1000 objects
    Then 35 to 45 percent of them went to lloegr
    And each object was served by one server

  Scenario: a small change of the shares moves few objects
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    And shares of 600 to cymru and 400 to lloegr
    When 2000 requests arrive for 1000 objects
    And the shares become 650 to cymru and 350 to lloegr
    Then at most 7 percent of the objects have another server

  Scenario Outline: an unusable server gets no requests
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When the servers of cymru-a <state>
    Then 50 requests use none of them

    Examples:
      | state                      |
      | drain                      |
      | are evacuated              |
      | answer for another server  |
      | could not be reached       |

  Scenario: a route with home regions is served there only
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    And shares of 600 to cymru and 400 to lloegr
    When 300 requests arrive for routes with the home region cymru
    Then all of them went to cymru

  Scenario: only the gateway that warms up a cold server uses it, at a limited rate
    Given a gateway in cymru-a with one server, which is cold and limited to 5 requests a second
    When another gateway warms it up
    Then no request goes to it in 2 seconds
    When the gateway warms it up
    Then at most 6 requests go to it in any second

  Scenario: servers count as cold after an evacuation
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When the servers of cymru-a are evacuated
    And the evacuation ends
    Then a gateway that does not warm them up sends them nothing for 3 seconds
