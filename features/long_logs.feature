Feature: control hosts that need a long log

  Scenario Outline: a host with an empty disk gets a long log within the time to catch up
    Given groups of 5 voters in simulated time with links of <megabits> Mbit/s, seeds 1 to 5
    And logs of <count> commands of <size> bytes
    When a <loss> while a change of <size> bytes comes each 400 ms
    Then each new replica is a voter within the time to catch up

    Examples:
      | megabits | count | size  | loss               |
      | 280      | 300   | 12000 | disk is lost       |
      | 280      | 300   | 12000 | voter is exchanged |
      | 280      | 20    | 180000 | disk is lost       |
      | 100      | 300   | 12000 | disk is lost       |
