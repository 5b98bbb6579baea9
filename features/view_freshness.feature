Feature: how long a gateway may deny requests by its view

  Scenario: a proper request is denied after a change had to be in force, as renewals get no answer
    Given a gateway whose lease of 3 seconds was just renewed
    And changes that must be in force after 2.5 seconds
    When its renewals get no answer for 2.6 seconds
    Then it does not deny requests by its view
