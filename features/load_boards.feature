Feature: gateways know what all of them have in flight at each server

  Scenario: a gateway is told what the others have in flight
    Given servers of 4 slots in cymru and lloegr
    When gateways a and b have 3 and 2 requests in flight at cymru-0
    Then gateway c is told 5 requests at cymru-0
    And gateway a is told 2 requests at cymru-0

  Scenario: nothing is sent while no server is busy
    Given servers of 4 slots in cymru and lloegr
    When gateways a and b have 1 and 1 requests in flight at cymru-0
    Then gateway c is told nothing

  Scenario: the newest counts of a gateway replace the earlier ones
    Given servers of 4 slots in cymru and lloegr
    When gateways a and b have 3 and 2 requests in flight at cymru-0
    And gateways a and b have 0 and 4 requests in flight at cymru-0
    Then gateway c is told 4 requests at cymru-0

  Scenario: the counts of a gateway that went silent are dropped
    Given servers of 4 slots in cymru and lloegr
    When gateways a and b have 3 and 2 requests in flight at cymru-0
    And 3 s pass
    Then gateway c is told nothing

  Scenario: a message has one byte for each server
    Given servers of 4 slots in cymru and lloegr
    When all servers have 300 requests in flight
    Then gateway c is told 100 bytes of 255

  Scenario: in a large deployment a gateway is told of its own region only
    Given 2000 servers of 4 slots in cymru and lloegr
    When all servers have 8 requests in flight
    Then gateway c is told 1000 bytes of 8

  Scenario: a gateway avoids a server that others have filled
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When it is told that others have 12 requests at the first server of an object
    Then its next request for the object goes to the second server

  Scenario: loads of other servers than those of the view are ignored
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When a server joins before it is told that others have 12 requests at the first server of an object
    Then its next request for the object goes to the first server

  Scenario: what a server said itself is not replaced by an earlier count
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When the first server of an object reports no load
    And it is told that others had 12 requests at the first server before that
    Then its next request for the object goes to the first server

  Scenario: a server of which nothing more is heard counts as free after 2 s
    Given a gateway in cymru-a with 4 servers in each of 4 domains
    When it is told that others have 12 requests at the first server of an object
    And 2 s pass at the gateway
    Then its next request for the object goes to the first server
