Feature: configurations, registrations and evacuations in the replicated state

  Scenario: of two orders on the same version one wins
    Given a state with a first configuration of version 3
    When an order of version 5 on version 3 is applied
    And another order of version 5 on version 3 is applied
    Then the first is accepted and the second is in conflict
    And version 5 is in force

  Scenario: an accepted order that is sent again is accepted again
    Given a state with a first configuration of version 3
    When an order of version 5 on version 3 is applied
    And an order of version 7 on version 5 is applied
    And the state goes through a snapshot
    And the order of version 5 is sent again
    Then it is accepted
    And version 7 is in force

  Scenario Outline: an invalid configuration is refused and changes nothing
    Given a state with a first configuration of version 3
    When an order comes that <fault>
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

  Scenario: a change of named items keeps the others
    Given a state with a first configuration of version 3
    When a change adds a route and removes the first
    Then the added route is in force and the first is not

  Scenario: entry hosts reach the same routes by deltas as by a snapshot
    Given a state with a first configuration of version 3
    When orders, registrations, evacuations and departures are applied
    Then a view that followed the deltas equals one from a snapshot

  Scenario: a heartbeat that was sent before a departure does not bring a server back
    Given a registered server
    When it leaves
    And a heartbeat arrives that it sent before
    Then it is not registered

  Scenario: a draining server is not ready again by a late heartbeat
    Given a registered server
    When it says that it drains
    And a heartbeat arrives that it sent before
    Then it is registered as draining

  Scenario: a server that only fell silent may come back
    Given a registered server
    When it is expired
    And it sends a further heartbeat
    Then it is registered

  Scenario: a server that starts again under its name is taken in
    Given a registered server
    When it leaves
    And it starts again under its name with its calls counted anew
    Then it is registered

  Scenario: a later server at the same address takes the earlier one out
    Given a registered server
    When a later one registers at its address
    And a heartbeat of the earlier one arrives late
    Then only the later one is registered

  Scenario: a departure of an earlier start leaves the later one alone
    Given a registered server
    When it starts again under its name with its calls counted anew
    And the departure of its earlier start arrives
    Then it is registered
