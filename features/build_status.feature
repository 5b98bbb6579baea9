Feature: operators see the build of each control host

  Scenario: the status names build and format of each control host
    Given a control host of this build, alone in its group
    When an operator asks it and one that is down for the status
    Then the status has a line for it with this build and format 1
    And it has a line for the one that is down
    And the JSON of the status has the same

  Scenario: a control host of a build that names none shows none
    Given a control host of the earlier build 451213e, alone in its group
    When an operator asks it and one that is down for the status
    Then the status has a line for it without build and format
    And the JSON of the status has the same

  Scenario: the status names build and format of a control host of the build in production
    Given a control host of the build in production, alone in its group
    When an operator asks it and one that is down for the status
    Then the status has a line for it with the build in production and format 1
    And the JSON of the status has the same

  Scenario: a daemon tells its build at its start
    Given a control host of this build, alone in its group
    Then its log names this build
    And the daemon prints the same as its version

  Scenario: builds with the same sources have the same name, others another one
    Given two copies of a folder of sources
    Then they are the same build
    When a byte of one source file changes
    Then they are different builds
