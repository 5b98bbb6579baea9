Feature: requests that come late in the planned stop of a gateway

  Scenario Outline: a request is started only if it can be answered before the end
    Given a stop of 6 s in which callers are accepted for 3 s
    When a request with <left_ms> ms left comes after <since_ms> ms, where <usual_ms> ms are usual
    Then the verdict is <verdict>

    Examples:
      | since_ms | left_ms | usual_ms | verdict |
      | 0        | 5000    | 0        | started |
      | 0        | 6000    | 0        | refused |
      | 0        | 60000   | 100      | started |
      | 0        | 60000   | 2000     | refused |
      | 2900     | 2500    | 0        | started |
      | 2900     | 60000   | 300      | started |
      | 2900     | 60000   | 500      | refused |
      | 3100     | 2500    | 1000     | started |
      | 3100     | 3000    | 10       | refused |
      | 5600     | 100     | 10       | started |
      | 5700     | 300     | 10       | refused |
      | 6100     | 10      | 0        | refused |

  Scenario: before a stop each request is started
    Given no stop
    When a request with 60000 ms left comes after 0 ms, where 0 ms are usual
    Then the verdict is started

  Scenario Outline: a request that would be cut at the end of a planned stop is refused as not run
    Given a gateway whose server answers after 2500 ms, with a timeout of 10000 ms
    And 1 request was answered
    When the gateway stops within 4 s and 2 s later a request comes <way>
    Then each of its callers gets 503 and a time to return, and the connection ends
    And no request was cut off and the server got none of them

    Examples:
      | way                                   |
      | on a kept connection                  |
      | on a new connection                   |
      | with a body that ends late            |
      | on a new connection, with one behind it |

  Scenario: a request that is answered in time is served until the end of a planned stop
    Given a gateway whose server answers after 300 ms, with a timeout of 1000 ms
    And 1 request was answered
    When the gateway stops within 4 s and 2 s later a request comes on a kept connection
    Then each of its callers gets 200
    And no request was cut off

  Scenario: a request with a long timeout is served in a planned stop if its like are quick
    Given a gateway whose server answers after 20 ms, with a timeout of 10000 ms
    And 1 request was answered
    When the gateway stops within 4 s and 2 s later a request comes on a kept connection
    Then each of its callers gets 200
    And no request was cut off

  Scenario: a second attempt that would be cut at the end of a planned stop is not made
    Given a gateway whose server breaks off after 1000 ms, with a timeout of 10000 ms
    And a second server
    When the gateway stops within 4 s and a request was sent just before
    Then each of its callers gets 502
    And the servers got 1 request

  Scenario: a request before the first view is refused at once by a gateway that stops
    Given a gateway that starts while its first control host is behind
    When it stops and a request with 6000 ms left arrives
    Then it is refused within 200 ms as not run, and told when to return
