Feature: requests while servers are replaced, in simulated time

  Scenario Outline: a request reaches a server too long after it has said that it leaves
    Given a release of 40 servers, a gateway and its leader, beside <trouble>
    When it is played with seeds 1 to 50
    Then no request reaches a server later than 2.5 s after it has said that it leaves

    Examples:
      | trouble      |
      | pauses       |
      | starved      |
      | slow link    |
      | lost answers |
      | no leader    |
      | all          |

  Scenario Outline: the simulation does not show a gateway whose view counts as newer than it is
    Given a release of 40 servers, a gateway and its leader, beside pauses
    And the simulated gateway <fault>
    When it is played with seeds 1 to 50
    Then requests reach servers later than that

    Examples:
      | fault                                         |
      | counts a renewal from when its answer is read |
      | asks for the age of its view on arrival only  |
      | goes on by its view however old it is         |
