Feature: time in which lost control hosts are replaced

  Scenario: a lost disk is replaced within the time to catch up
    Given groups of 5 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 60
    When a disk is lost and the host comes back
    Then each new replica is a voter within the time to catch up

  Scenario: a new host replaces a lost voter within the time to catch up
    Given groups of 5 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 60
    When a voter is lost for good and a new host joins
    Then each new replica is a voter within the time to catch up

  Scenario: a host that is exchanged again and again is replaced within the time to catch up
    Given groups of 5 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 30
    When the same host loses its disk and comes back 4 times in a row
    Then each new replica is a voter within the time to catch up

  Scenario: a lost disk is replaced in time though the leader loses power meanwhile
    Given groups of 5 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 60
    And leaders that lose power while a disk is replaced
    When a disk is lost and the host comes back
    Then each new replica is a voter within the time to catch up

  Scenario: two disks lost at once are replaced within the time to catch up
    Given groups of 5 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 60
    When two disks are lost at once and the hosts come back
    Then each new replica is a voter within the time to catch up

  Scenario: a disk lost with the power of all hosts is replaced within the time to catch up
    Given groups of 5 voters in simulated time that lose and delay messages, one with a slow disk, seeds 1 to 60
    When all hosts lose power and one of them its disk
    Then each new replica is a voter within the time to catch up
