Feature: experiments with emulated deployments

  Scenario: a grid of loads and policies is played and plotted
    Given a grid of 2 policies, 2 loads and 2 seeds over 6 s
    When it is played by 2 processes and plotted
    Then there are 8 results, each with the credit of 3 windows
    And the same cell played again gives the same result
    And there are 3 plots

  Scenario Outline: each trouble costs callers of the present policy credit
    Given a grid of 1 policies, 1 loads and 2 seeds over 22 s
    When it is played with and without <trouble>
    Then the callers get less with it

    Examples:
      | trouble    |
      | burst      |
      | shed       |
      | blind      |
      | evacuation |
