Feature: shares of a service's requests between regions

  Scenario Outline: no step moves more objects than its cap
    Given three regions with uneven capacity and a cap of 30 permille a step
    When the demand changes for 300 steps with seed <seed>
    Then no step moves more than 30 permille of a region's objects

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: requests stay in a region with enough capacity
    Given three regions with uneven capacity and a cap of 30 permille a step
    When each region's demand is half of its capacity for 60 steps
    Then every region serves its own requests

  Scenario: requests beyond the capacity of a region go to other regions
    Given three regions with uneven capacity and a cap of 30 permille a step
    When a region's demand is twice its capacity for 60 steps
    Then about half of its requests go to the other regions

  Scenario: the excess of a region moves at once when a domain of it is evacuated
    Given three regions with uneven capacity and a cap of 30 permille a step
    And a demand of 0.7 of the capacity of each region
    When half of the capacity of cymru is evacuated
    Then within 1 step between 200 and 600 permille of its objects are elsewhere
    And objects of the other regions are where they were

  Scenario: objects return step by step when the evacuation ends
    Given three regions with uneven capacity and a cap of 30 permille a step
    And a demand of 0.7 of the capacity of each region
    When half of the capacity of cymru is evacuated
    And the evacuation ends after 3 steps
    Then no later step moves more than 30 permille of a region's objects
    And after 60 steps every region serves its own requests

  Scenario: a new leader does not take an evacuation for a new one
    Given three regions with uneven capacity and a cap of 30 permille a step
    And a demand of 0.7 of the capacity of each region
    When half of the capacity of cymru is evacuated
    And another leader takes over in the next step
    Then no later step moves more than 30 permille of a region's objects

  Scenario: a leader that leads again does not take an evacuation for a new one
    Given three regions with uneven capacity and a cap of 30 permille a step
    And a demand of 0.7 of the capacity of each region
    When half of the capacity of cymru is evacuated
    And its leader had lost its role before and leads again
    Then no later step moves more than 30 permille of a region's objects

  Scenario: an evacuation that takes no server of a service moves no objects at once
    Given three regions with uneven capacity and a cap of 30 permille a step
    And a demand of 0.7 of the capacity of each region
    When a domain of cymru without servers of the service is evacuated
    And the demand of iwerddon doubles
    Then no later step moves more than 30 permille of a region's objects

  Scenario: regions without a part in an evacuation move step by step
    Given three regions with uneven capacity and a cap of 30 permille a step
    And a demand of 0.7 of the capacity of each region
    When half of the capacity of lloegr is evacuated
    And the demand of iwerddon doubles
    Then within 1 step at most 33 permille of the objects of iwerddon move

  Scenario: an evacuation brings no objects back to a region that is full
    Given three regions with uneven capacity and a cap of 30 permille a step
    And a demand of 0.5 of the capacity of each region
    And a demand of iwerddon of 1.5 times its capacity
    When half of the capacity of lloegr is evacuated
    Then within 1 step at most 33 permille of the objects of iwerddon return to it
