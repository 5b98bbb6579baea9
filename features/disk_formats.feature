Feature: a disk that this build cannot read is left as it is

  Scenario Outline: what a later build has written stops the start
    Given the data folder of a control host with 20 changes
    And it ends with <content>
    When a control host starts on it
    Then it is refused with an error that names <names>
    And no byte in the folder has changed

    Examples:
      | content                                          | names                             |
      | a record of an unknown kind                      | log-0, Unheard, no format, format 1 |
      | a record of an unknown kind and a torn one       | log-0, Unheard, no format, format 1 |
      | a record of an unknown kind among others         | log-0, Batch, Unheard, format 1   |
      | a record nested too deeply                       | log-0, HardState, format 1        |
      | a record of another file                         | log-0, Snapshot, format 1         |
      | a command of an unknown kind                     | log-0, entry 21, Unheard, format 1 |
      | a command of an unknown kind and a torn record   | log-0, entry 21, Unheard, format 1 |
      | a command without a field                        | log-0, entry 21, LeaveHost, format 1 |
      | a snapshot of an unknown kind                    | snapshot-21, Unheard, format 1    |
      | a snapshot with a change of an unknown kind      | snapshot-21, Unheard, format 1    |
      | an identity of another type                      | identity, format 1                |
      | a mark of format 2                               | format 2, format 1                |
      | a mark of format 2 and a torn record             | format 2, format 1                |
      | a mark of format 2 and a record of unknown layout | format 2, format 1               |

  Scenario: a damaged mark of the format stops the start
    Given the data folder of a control host with 20 changes
    And it ends with a damaged mark of the format
    When a control host starts on it
    Then it is refused with an error that names format, damaged
    And no byte in the folder has changed

  Scenario: a folder without a mark is read and gets one
    Given the data folder of a control host with 20 changes
    When a control host starts on it
    Then it has all 20 changes and its folder is marked with format 1
    When a control host starts on it
    Then it has all 20 changes and its folder is marked with format 1

  Scenario: a new folder is marked before its log is written
    Given an empty data folder
    When a control host starts on it
    Then it has all 0 changes and its folder is marked with format 1

  Scenario: a torn record is still cut from a folder that can be read
    Given the data folder of a control host with 20 changes
    And it ends with a torn record
    When a control host starts on it
    Then it has all 20 changes and its folder is marked with format 1
    And the torn record is gone

  Scenario: a daemon that cannot read its disk says why and ends
    Given the data folder of a control host with 20 changes
    And it ends with a record of an unknown kind
    When a daemon starts on it
    Then it ends with exit code 10 and a line that names log-0, Unheard, format 1
    And no byte in the folder has changed
