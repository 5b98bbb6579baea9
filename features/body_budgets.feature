Feature: memory for the bodies of responses in flight

  Scenario: the largest body is given up once all together are too large
    Given a budget of 1000 bytes for all bodies in flight
    When bodies of 300, 600 and 200 bytes arrive piece by piece
    Then the one of 600 bytes is given up and the others are kept
    And 500 bytes are held

  Scenario: a body that is complete holds nothing
    Given a budget of 1000 bytes for all bodies in flight
    When bodies of 900 bytes arrive one after the other
    Then none is given up
