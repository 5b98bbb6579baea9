Feature: faults of the soak while the control group's members change

  Scenario Outline: disks are lost only as far as the group tolerates
    Given a control group that tolerates the loss of <tolerated> hosts
    And successors of hosts <started> that start at 10 s
    Then hosts <chosen> lose their disks at <at_s> s, of hosts 3, 1, 0 and 2

    Examples:
      | tolerated | started | at_s | chosen  |
      | 1         | none    | 11   | 3       |
      | 1         | 2       | 13.9 | 2       |
      | 1         | 2       | 14.1 | 3       |
      | 2         | none    | 11   | 3 and 1 |
      | 2         | 0       | 13.9 | 3 and 0 |
      | 2         | 0       | 14.1 | 3 and 1 |
      | 2         | 0 and 2 | 13.9 | 0 and 2 |

  Scenario: runs differ in the size of the group and in its faults
    When the faults of members are drawn for 200 seeds
    Then some runs have no such faults, some three control hosts and some five
    And no fault loses more disks than its group tolerates
    And some losses of power follow a change of members and some do not
