Feature: steering between regions

  Scenario: shifts stay under the cap when several causes add up
    Given 3 regions with 100 slots each and a cap of 200 permille in 2000 ms
    When regions change at random every 300 ms for 60 seconds with seed 11
    Then in no window of 2000 ms more than 200 permille of a region moved

  Scenario: a new leader counts the moves of the previous leader
    Given 3 regions with 100 slots each and a cap of 200 permille in 2000 ms
    When region cymru is lost
    And a new leader restores the state after every move
    Then in no window of 2000 ms more than 200 permille of a region moved
    And in the end no block of cymru goes to cymru

  Scenario: a region without measurements never counts as idle
    Given 3 regions with 100 slots each and a cap of 200 permille in 2000 ms
    When region cymru is lost and region lloegr has no measurements
    Then no block of cymru is moved to lloegr

  Scenario: weights freeze while a region's measurements are missing
    Given 3 regions with 100 slots each and a cap of 200 permille in 2000 ms
    And region cymru has moved some of its blocks away
    When the measurements of cymru stop
    Then the weights of cymru stay as they are

  Scenario: the blocks of a lost region go where there is headroom
    Given 3 regions with 100 slots each and a cap of 200 permille in 2000 ms
    And region lloegr has 70 busy slots and region iwerddon 10
    When region cymru is lost
    Then iwerddon gets more of the blocks of cymru than lloegr

  Scenario: the baseline sends blocks to a lost region
    Given 3 regions with 100 slots each and a cap of 200 permille in 2000 ms
    When region cymru is lost and the baseline decides
    Then all blocks of cymru go to cymru

  Scenario: a host that leaves moves only its own clients
    Given 12 entry hosts in one region
    When one of them leaves
    Then only look-ups that named it first name another host first

  Scenario: a drained host is named in no look-up
    Given 12 entry hosts in one region
    When one of them is drained
    Then no look-up names it

  Scenario: a drained region is named until its blocks have moved
    Given 12 entry hosts in one region
    When its region is drained while some of its blocks still go to it
    Then look-ups for those blocks still name its hosts
    When no block goes to it any more
    Then no look-up names a host of the region
