Feature: configurations, registrations and evacuations in the replicated state

  Scenario: of two orders based on the same version one is accepted
    Given a state with a first configuration of version 3
    When an order of version 5 on version 3 is applied
    And another order of version 5 on version 3 is applied
    Then the first is accepted and the second is in conflict
    And version 5 is in force

  Scenario: an accepted order that is resent is accepted again
    Given a state with a first configuration of version 3
    When an order of version 5 on version 3 is applied
    And an order of version 7 on version 5 is applied
    And the state is restored from its snapshot
    And the order of version 5 is resent
    Then it is accepted
    And version 7 is in force

  Scenario Outline: an invalid configuration is refused and changes nothing
    Given a state with a first configuration of version 3
    When an order arrives that <fault>
    Then it is refused as malformed
    And version 3 is in force

    Examples:
      | fault                            |
      | names an unknown service         |
      | has a timeout over ten minutes   |
      | has an objective a minute beyond |
      | allows no attempt                |
      | has a prefix without a slash     |
      | has the current version          |

  Scenario: a change of named items leaves the others
    Given a state with a first configuration of version 3
    When a change adds a route and removes the first
    Then the added route is in force and the first is not

  Scenario: a change within thousands of routes reaches hosts in few bytes
    Given a state with a configuration of 3000 routes
    When an order with all routes changes one, adds one and removes one
    Then the change of the view has at most 3000 bytes
    And a view built from deltas has the routes of the configuration

  Scenario: deltas and a snapshot give an entry host the same routes
    Given a state with a first configuration of version 3
    When orders, registrations, evacuations and departures are applied
    Then a view built from deltas equals one restored from a snapshot

  Scenario: a heartbeat sent before a departure does not register the server again
    Given a registered server
    When it leaves
    And an earlier heartbeat arrives late
    Then it is not registered

  Scenario: a late heartbeat does not make a draining server ready again
    Given a registered server
    When it reports that it drains
    And an earlier heartbeat arrives late
    Then it is registered as draining

  Scenario: entry hosts learn that a server drains
    Given a registered server
    When it reports that it drains
    Then it is registered as draining
    And it is draining in a view built from deltas

  Scenario: a server that expired registers again by a heartbeat
    Given a registered server
    When it is expired
    And it sends a further heartbeat
    Then it is registered

  Scenario: a server that restarts under its name is registered
    Given a registered server
    When it leaves
    And it restarts under its name with a new sequence
    Then it is registered

  Scenario: a later server at the same address replaces the earlier one
    Given a registered server
    When a later one registers at its address
    And a heartbeat of the earlier one arrives late
    Then only the later one is registered

  Scenario: a departure of an earlier start does not remove the later one
    Given a registered server
    When it restarts under its name with a new sequence
    And the departure of its earlier start arrives
    Then it is registered
