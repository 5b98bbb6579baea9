Feature: which backend server a gateway sends a request to

  Scenario: requests for one object meet one server while it has room
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When 200 requests come for 20 objects
    Then each object was served by one server of cymru

  Scenario: an object moves to its second server and no further
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When all servers hold 1 request for each slot
    And the first server of an object is full
    Then its next requests go to one other server
    When that one is full too
    Then the next request for it is refused

  Scenario: a server that is nearly idle takes objects that have no room
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When both servers of an object are full
    Then its next request goes to an idle server of the region

  Scenario: shares send a part of the objects to another region
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    And shares of 600 to cymru and 400 to lloegr
    When 2000 requests come for 1000 objects
    Then 35 to 45 percent of them went to lloegr
    And each object was served by one server

  Scenario: a small change of the shares moves few objects
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    And shares of 600 to cymru and 400 to lloegr
    When 2000 requests come for 1000 objects
    And the shares become 650 to cymru and 350 to lloegr
    Then at most 7 percent of the objects have another server

  Scenario Outline: a server that must not be used gets nothing
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When the servers of cymru-a <state>
    Then 50 requests go to none of them

    Examples:
      | state                      |
      | drain                      |
      | are evacuated              |
      | answer for another server  |
      | could not be reached       |

  Scenario: a route with home regions is served there only
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    And shares of 600 to cymru and 400 to lloegr
    When 300 requests come for routes at home in cymru
    Then all of them went to cymru

  Scenario: a cold server is used by its keeper only, and slowly
    Given a gateway in cymru-a with one server, which is cold and bears 5 requests a second
    When the gateway is not its keeper
    Then no request goes to it in 2 seconds
    When the gateway is its keeper
    Then at most 6 requests go to it in any second

  Scenario: servers that come back from an evacuation are taken for cold
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When the servers of cymru-a are evacuated
    And the evacuation is taken back
    Then a gateway that is not their keeper sends them nothing for 3 seconds
