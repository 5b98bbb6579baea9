Feature: builds that run side by side

  Scenario: this build reads what the build in production wrote
    Given what the build in production wrote, as kept with its commit
    Then this build reads all of it

  Scenario: each of two builds reads what the other one writes
    Given the build in production and this one
    Then each reads all messages, commands, deltas and records of the other
    And both come to the same state by the commands of each

  Scenario: each of two builds reads the disk of the other one
    Given the build in production and this one
    When each writes a data folder with a log
    Then the other one reads its whole log

  Scenario: the build in production passes over the mark of a disk's format
    Given the build in production and this one
    When this one writes a data folder, which that one and this one then open
    Then each of them reads its whole log
    And the folder is marked with format 1 all the time

  Scenario: a proposal that names its index is a plain one to a build that names none
    Given the build 3bcc90a and this one
    Then this one writes proposals with seen_index
    And the earlier build writes them without
    And each reads all messages, commands, deltas and records of the other

  Scenario: two builds that cannot run side by side are told
    Given the builds 0d0000d and 3bcc90a
    Then the first cannot read KeepAliveRequest and KeepAliveReply of the second
    And the second cannot read KeepAliveRequest and KeepAliveReply of the first

  Scenario: a commit that is not in the history is named
    When a build of 0000000 is laid out
    Then the error names the commit

  Scenario Outline: a departure leads to other states in builds that run side by side
    Given a control group to which a start of a server is <known>
    And a control host that has applied nothing
    When the start leaves by that host
    Then no call of it registers the server, however late
    And a later start registers it
    And the build in production comes to the same state by these commands

    Examples:
      | known                                  |
      | unknown                                |
      | registered                             |
      | registered with the largest sequence   |
      | unknown, but an earlier one registered |
      | draining                               |
      | removed for its silence                |
      | removed, its address used by another   |
