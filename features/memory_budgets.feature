Feature: who loses what it holds when the memory for clients is used up

  Scenario: a body that goes on is given up before one that stands still
    Given a memory budget of 80 units
    And 7 clients that hold 10 units each and stand still for 2 s
    When another client sends 40 units without a pause
    Then it keeps them, and clients that stand still lose theirs

  Scenario: who sends a byte now and then counts as one that goes on
    Given a memory budget of 80 units
    And 7 clients that hold 10 units each and send a byte each 0.5 s from 3 s ago on
    When another client sends 40 units without a pause
    Then it keeps them, and clients that stand still lose theirs

  Scenario: many addresses with small bodies outweigh one address with many
    Given a memory budget of 80 units
    And 2 clients of one address that hold 20 units each
    When another client sends 30 units without a pause
    And another client sends 10 units without a pause
    Then each of these keeps them, and a client of the one address loses its own

  Scenario: a request that may run is given up
    Given a memory budget of 80 units
    And 7 clients that hold 10 units each and stand still for 2 s, in requests that run
    When another client sends 40 units without a pause
    Then it loses them, and the 7 keep theirs

  Scenario: requests that run and hold all leave no room for an ordinary request
    Given a memory budget of 80 units
    And 7 clients that hold 10 units each and stand still for 2 s, in requests that run
    When another client sends 1000 bytes
    Then it keeps them, and the 7 keep theirs

  Scenario: a client that is released twice, or given up, leaves bytes charged
    Given a memory budget of 80 units
    And 7 clients that hold 10 units each and stand still for 2 s
    When another client sends 40 units without a pause
    And all clients release what they hold
    Then nothing is charged

  Scenario Outline: what many clients may hold together follows the memory of the machine
    Then on a machine of <size> MB they may hold <least> to <most> MB together
    And a request of 64 MiB fits in

    Examples:
      | size | least | most |
      | 200  | 76    | 100  |
      | 300  | 120   | 180  |
      | 456  | 200   | 300  |

  Scenario Outline: a body in parts of <part> bytes takes many times its bytes
    When a body of 2 MiB is collected in parts of <part> bytes
    Then it takes at most 2.5 MiB, and is charged at no less than 2 MiB
    And its pieces make up the body

    Examples:
      | part  |
      | 2     |
      | 100   |
      | 20000 |
      | 65536 |

  Scenario Outline: a head of many fields takes more than it is charged at
    When 50 heads of <count> fields are parsed
    Then they take no more than they are charged at

    Examples:
      | count |
      | 1     |
      | 30    |
      | 2500  |

  Scenario: a document of many items takes more than it is charged at
    When an order of 1 MiB in items of one byte is decoded
    Then it takes no more than it is charged at

  Scenario Outline: requests that a gateway relays count as those of one client
    When a request comes from <sender>, and names 10.0.0.7 as its caller
    Then it counts as a request of <owner>

    Examples:
      | sender          | owner    |
      | another gateway | 10.0.0.7 |
      | a caller        | 10.0.0.9 |
