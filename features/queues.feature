Feature: queues of an owner

  Scenario Outline: each rank keeps its floor while another floods
    Given queues with floors urgent 30, interactive 20 and background 10 percent
    And every rank is backlogged with 400 requests
    When 200 slots are filled
    Then rank <rank> got at least <least> of them

    Examples:
      | rank        | least |
      | urgent      | 60    |
      | interactive | 39    |
      | background  | 19    |

  Scenario: urgent work goes first beyond the floors
    Given queues with floors urgent 30, interactive 20 and background 10 percent
    And every rank is backlogged with 400 requests
    When 200 slots are filled
    Then urgent work got more than all other ranks together

  Scenario: other ranks use an unused floor
    Given queues with floors urgent 30, interactive 20 and background 10 percent
    And only background is backlogged with 50 requests
    When 50 slots are filled
    Then rank background got at least 50 of them

  Scenario: a customer's flood does not reduce another customer's floor
    Given an interactive queue of a flooding customer with floor 20 percent
    And an interactive queue of a quiet customer with floor 20 percent
    When the flood keeps 400 requests waiting and the quiet one 20
    And 100 slots are filled
    Then the quiet customer got all its 20 requests served

  Scenario: a request that cannot be answered in time is refused early
    Given a queue with 40 urgent requests, 4 slots and 50 ms a request
    When an urgent request arrives with 300 ms left
    Then it is refused with a retry time
    But an urgent request with 2000 ms left is accepted

  Scenario: the baseline serves a flood before the urgent work behind it
    Given a first come first served queue with 100 background requests
    When an urgent request arrives and 100 slots are filled
    Then the urgent request still waits

  Scenario: requests past their deadline leave the queue
    Given a queue with 40 urgent requests, 4 slots and 50 ms a request
    When 10000 ms have passed
    Then all 40 leave the queue as late
