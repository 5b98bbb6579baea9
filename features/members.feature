Feature: automatic membership of the control group

  Scenario: at the first start all seeds found the same group
    Given 3 seeds and 2 other control hosts at the first start
    Then each seed starts with the same 3 voters
    And the others start blank

  Scenario: a seed that lost its disk founds no group
    Given 3 seeds and 2 other control hosts at the first start
    When a seed restarts with an empty folder, not as the first start
    Then it starts blank

  Scenario: other control hosts become voters up to the target number
    Given a group of 3 voters that should have 5
    When 2 further control hosts ask to join and catch up
    Then the group has 5 voters and no learners

  Scenario: a host that lost its disk replaces its earlier replica
    Given a group of 5 voters that should have 5
    When a voter's host asks to join with an empty folder and catches up
    Then the group has 5 voters and no learners
    And its earlier replica is no member

  Scenario: two hosts that lost their disks replace their replicas one by one
    Given a group of 5 voters that should have 5
    When 2 voters' hosts ask to join with empty folders and catch up
    Then the group has 5 voters and no learners
    And it never had fewer than 4 voters, nor changed by more than one

  Scenario: a new host replaces a voter that stays silent
    Given a group of 5 voters that should have 5
    When a new host asks to join and catches up
    Then the group has 5 voters and 1 learner
    When a voter stays silent
    Then the group has 5 voters and no learners
    And the silent voter is no member

  Scenario: a silent voter is kept while no host can replace it
    Given a group of 5 voters that should have 5
    When a voter stays silent
    Then the group has 5 voters and no learners

  Scenario: a learner takes the place of a voter that is about to stop
    Given a group of 5 voters that should have 5
    When a new host asks to join and catches up
    And the first voter is about to stop
    Then the group has 5 voters and no learners
    And it never had fewer than 5 voters, nor changed by more than one
    And the first voter is no member

  Scenario: a voter that is about to stop stays while no host can replace it
    Given a group of 5 voters that should have 5
    When the first voter is about to stop
    Then the group has 5 voters and no learners
    And it never had fewer than 5 voters, nor changed by more than one
