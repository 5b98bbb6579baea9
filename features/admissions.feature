Feature: room and retries are divided among the ranks of a service

  Scenario: the most urgent of two ranks may queue where the other is refused
    Given a service that gets requests of ranks 1 and 3
    Then a server with 1.5 requests for each slot takes rank 1 and not rank 3
    And a server with 1 request for each slot takes both

  Scenario: a rank that has no requests takes no room from the others
    Given a service that gets requests of ranks 1 and 3
    When no request of rank 1 arrives for 11 s
    Then rank 3 has the room of the only rank

  Scenario: the last retries are kept for the most urgent rank
    Given a service that gets requests of ranks 0 and 1
    And a retry budget of which 0.7 is used
    Then rank 0 gets a retry and rank 1 gets none

  Scenario: each rank gets some of the retries
    Given a service that gets requests of ranks 0 and 1
    And a retry budget of which 0.4 is used
    Then both ranks get a retry

  Scenario Outline: a refused caller is told to return when there is room
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When both servers of an object hold <requests> requests on 4 slots
    And requests take 400 ms
    Then a caller with <left> ms until its deadline may return after <after> ms

    Examples:
      | requests | left | after |
      | 2        | 6000 | 50    |
      | 10       | 6000 | 300   |
      | 20       | 6000 | 1000  |
      | 20       | 900  | 297   |

  Scenario: before any request has been measured, a refused caller waits longest
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When both servers of an object hold 2 requests on 4 slots
    Then a caller with 6000 ms until its deadline may return after 1000 ms
