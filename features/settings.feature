Feature: settings and the command line

  Scenario: every fault in a settings file is listed with its key
    Given a settings file with an unknown key, a bad port and no host name
    When the daemon checks it
    Then its exit code is 2
    And each of the 3 faults is listed with its key

  Scenario: a valid settings file passes the check
    Given the settings file of entry-1 of golau-beic
    When the daemon checks it
    Then its exit code is 0

  Scenario: every settings file under deploy is valid
    Then all settings files of both users are valid

  Scenario: the page of settings matches the settings classes
    Then docs/user/settings.md equals the reference made from the classes

  Scenario: every error kind has one answer, and the callers' page names it
    Then each error kind has one answer
    And docs/user/callers.md names each error kind

  Scenario: an invalid contract is refused with the invalid key
    Given a contract with a floor of 101 percent
    When it is read
    Then the error names the floor_percent

  Scenario: a failed command has the exit code of its error
    When the command asks for the status without a control host
    Then its exit code is 9

  Scenario: an outcome is printed without its empty fields
    When an accepted change's outcome is printed
    Then it shows its version and revision, and nothing is None
