Feature: what callers of an emulated deployment get on heavy days

  Scenario Outline: urgent requests are served better than without ranks
    Given the emulated deployment "few servers"
    And <trouble>
    When seeds 1 to 4 are played with and without ranks
    Then the most urgent kind earns at least 0.03 more than without
    And all kinds together earn no less than without
    And each kind is served at a quarter of the common rate or more

    Examples:
      | trouble                                         |
      | a load of 1.3 and a burst of 1.7 from 8 to 12 s |
      | a load of 1.8                                   |

  Scenario: callers are served better where gateways know what all have in flight
    Given the emulated deployment "few servers"
    And a load of 2.2
    When seeds 1 to 4 are played with and without shared loads
    Then all kinds together earn at least 0.01 more than without
    And each kind is served at a quarter of the common rate or more

  Scenario: callers are served in a deployment of hundreds of hosts
    Given the emulated deployment "hundreds of servers"
    When seeds 1 to 1 are played with and without ranks
    Then each kind is served at a quarter of the common rate or more
    And no more than 0.01 of the requests are refused or fail
    And the retries keep to their budget

  Scenario: hundreds of gateways and servers under more load than they finish
    Given the emulated deployment "hundreds of servers"
    And a load of 1.5
    When seeds 1 to 1 are played with and without shared loads
    Then all kinds together earn no less than without
    And each kind is served at a quarter of the common rate or more
    And the retries keep to their budget
    And no message to a gateway has more than 306 bytes of loads

  Scenario: fewer callers are refused where requests wait for the first view
    Given the emulated deployment "few servers"
    And gateways without a view from 15 to 16.8 s
    When seeds 1 to 8 are played with and without a wait for the view
    Then fewer than half as many requests of these seconds end refused
    And all kinds together earn no less than without

  Scenario Outline: fewer callers are refused when a failure domain is evacuated
    Given the emulated deployment "few servers"
    And a load of <load>
    And an evacuation of <domain> from 8 to 20 s
    When seeds 1 to 4 are played with and without a step for evacuations
    Then fewer requests end refused than without
    And all kinds together earn no less than without
    And each kind is served at a quarter of the common rate or more

    Examples:
      | load | domain  |
      | 1    | noa-a   |
      | 1.3  | noa-a   |

  Scenario: fewer callers are refused when half of the largest region is evacuated
    Given the emulated deployment "few servers"
    And a load of 1.3
    And an evacuation of pampa-b from 8 to 20 s
    When seeds 1 to 4 are played with and without a step for evacuations
    Then fewer requests end refused than without
    And each kind is served at a quarter of the common rate or more

  Scenario: hundreds of servers, of which half of the smallest region are evacuated
    Given the emulated deployment "hundreds of servers"
    And an evacuation of iwerddon-a from 8 to 20 s
    When seeds 1 to 1 are played with and without a step for evacuations
    Then fewer requests end refused than without
    And all kinds together earn at least 0.01 more than without
    And the retries keep to their budget

  Scenario Outline: callers at gateways that reach no server are not served
    Given the emulated deployment "<deployment>"
    And a share of <share> of the gateways that reaches no server from 8 to 18 s
    When seeds 1 to <seeds> are played with and without relays
    Then from 3 s on first tries there are served two thirds as often as elsewhere
    And without relays they are not
    And all kinds together earn no less than without
    And the retries keep to their budget

    Examples:
      | deployment          | share | seeds |
      | few servers         | 0.5   | 4     |
      | few servers         | 0.75  | 4     |
      | hundreds of servers | 0.6   | 1     |

  Scenario Outline: servers that say in their answers only that they leave start anew
    Given the emulated deployment "<deployment>"
    And half of the servers leave by their answers one after the other, from 4 to 20 s
    When seeds 1 to <seeds> are played with and without departures
    Then no request is sent to a server that had told its gateway not to
    And without departures some are
    And fewer requests are broken off by servers that end than without
    And one change for each of them tells all gateways that it leaves

    Examples:
      | deployment          | seeds |
      | few servers         | 4     |
      | hundreds of servers | 1     |

  Scenario Outline: servers that are full at times say for how long
    Given the emulated deployment "<deployment>"
    And half of the servers are full for 1.5 s at a time, from 8 to 20 s
    When seeds 1 to <seeds> are played with and without back-offs
    Then no request is sent to a server that had told its gateway not to
    And without back-offs some are
    And more refusals come without a try at a server than without
    And fewer requests end refused than without
    And each kind is served at a quarter of the common rate or more
    And the retries keep to their budget

    Examples:
      | deployment          | seeds |
      | few servers         | 4     |
      | hundreds of servers | 1     |

  Scenario: callers are refused at once while all servers are full
    Given the emulated deployment "few servers"
    And all of the servers are full for 1.5 s at a time, from 8 to 20 s
    When seeds 1 to 4 are played with and without back-offs
    Then no request is sent to a server that had told its gateway not to
    And without back-offs some are
    And more refusals come without a try at a server than without
    And each kind is served at a quarter of the common rate or more
    And the retries keep to their budget

  Scenario: callers are served no worse where half of the servers say for how long they are full
    Given the emulated deployment "few servers"
    And half of the servers are full for 1.5 s at a time, from 8 to 20 s
    When seeds 1 to 4 are played with and without back-offs
    Then fewer requests end refused than without
    And all kinds together earn no less than without

  Scenario: callers are served no worse where all servers say for how long they are full
    Given the emulated deployment "few servers"
    And all of the servers are full for 1.5 s at a time, from 8 to 20 s
    When seeds 1 to 4 are played with and without back-offs
    Then fewer requests end refused than without
    And all kinds together earn no less than without
