Feature: owners of backend servers

  Scenario: no server runs more requests than its slots, whatever it reports
    Given an owner of 3 backend servers with 4 slots each
    When 200 requests arrive at once and the servers report that they are idle
    Then no server ever runs more than 4 requests
    And all 200 requests are answered

  Scenario: a report can lower the requests a server may run, but not raise them
    Given a backend server with 4 slots that is past its ramp-up
    Then it may run 4 requests
    When it reports 3 usable slots
    Then it may run 3 requests
    When it reports 50 usable slots
    Then it may run 4 requests
    When it reports 2 busy slots that this owner does not use
    Then it may run 2 requests

  Scenario: a new server ramps up
    Given a backend server with 4 slots that has just announced itself
    Then it may run 1 requests
    And after half of its ramp-up it may run 2 requests
    And after its ramp-up it may run 4 requests

  Scenario: a server that sheds load gets half, whatever it reports
    Given a backend server with 4 slots that is past its ramp-up
    When it refuses a request as not run
    Then it may run 2 requests
    When it reports 4 usable slots
    Then it may run 2 requests

  Scenario: an unreachable server gets no requests until it announces itself again
    Given a backend server with 4 slots that is past its ramp-up
    When it cannot be reached
    Then it may run 0 requests
    And 1 minute later it may still run 0 requests

  Scenario: a suspected request runs alone on its server
    Given an owner of 2 backend servers with 4 slots each
    When 40 requests and a suspected one arrive at once
    Then the suspected request ran alone on its server
    And all 41 requests are answered

  Scenario: a request that its caller cancels is cancelled at its server
    Given an owner of 1 backend servers with 1 slots each
    When a caller cancels a running request
    Then the server was asked to cancel it

  Scenario: a server that has left gets no new requests
    Given an owner of 1 backend servers with 4 slots each
    When the server leaves and 5 requests arrive
    Then all 5 are refused as not run

  Scenario: a server never has two owners at a time
    Given 6 entry hosts that derive the owners of servers from the same view
    When hosts join and leave 200 times with seed 5
    Then every server has one owner in every view
    And a new owner asks every live host that owned the server within a lease

  Scenario: a new host takes over only the servers that it owns
    Given 6 entry hosts that derive the owners of servers from the same view
    When another host joins
    Then only servers of the new host have moved

  Scenario: an earlier owner with an older view is asked again
    Given a host that takes a server over from one with an older view
    When the server announces itself and the view catches up after 3 calls
    Then the server is usable within 1 second

  Scenario: the lease of an unreachable earlier owner is waited for
    Given a host that takes a server over from one that cannot be reached
    When the server announces itself
    Then the server is usable after a full lease
