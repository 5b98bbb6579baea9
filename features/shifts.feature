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
