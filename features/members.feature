Feature: members of the control group keep themselves

  Scenario: the seeds of the first start found the same group
    Given 3 seeds and 2 other control hosts at the first start
    Then each seed starts with the same 3 voters
    And the others start blank

  Scenario: a seed that lost its disk founds nothing
    Given 3 seeds and 2 other control hosts at the first start
    When a seed starts again with an empty folder, not as the first start
    Then it starts blank

  Scenario: other control hosts become voters up to the wanted number
    Given a group of 3 voters that should have 5
    When 2 further control hosts ask to join and catch up
    Then the group has 5 voters and no learners

  Scenario: a host that lost its disk takes its own place again
    Given a group of 5 voters that should have 5
    When a voter's host asks to join with an empty folder and catches up
    Then the group has 5 voters and no learners
    And its earlier replica is out

  Scenario: two hosts that lost their disks take their places one by one
    Given a group of 5 voters that should have 5
    When 2 voters' hosts ask to join with empty folders and catch up
    Then the group has 5 voters and no learners
    And it never had fewer than 4 voters, nor changed by more than one

  Scenario: a new host takes the place of a voter that stays silent
    Given a group of 5 voters that should have 5
    When a new host asks to join and catches up
    Then the group has 5 voters and 1 learner
    When a voter stays silent
    Then the group has 5 voters and no learners
    And the silent voter is out

  Scenario: a silent voter is kept while nobody can take its place
    Given a group of 5 voters that should have 5
    When a voter stays silent
    Then the group has 5 voters and no learners
