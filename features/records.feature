Feature: the journal on disk

  Scenario: a truncated record at the end is removed
    Given a journal with 20 entries
    When its last 7 bytes are lost
    Then it opens with 19 entries

  Scenario: a half-written record at the end is removed
    Given a journal with 20 entries
    When half a record is added at its end
    Then it opens with 20 entries

  Scenario: a torn write of several entries is removed as a whole
    Given a journal with 20 entries
    When a crash tears the write of 10 more entries in its middle
    Then it opens with 20 entries

  Scenario: a damaged record in the middle is refused
    Given a journal with 20 entries
    When a byte in the middle is changed
    Then it is refused as corrupt_journal

  Scenario: a damaged identity is refused
    Given a journal with 20 entries
    When its identity is changed
    Then it is refused as corrupt_journal

  Scenario: an empty folder is a new replica
    Given a journal with 20 entries
    When its folder is removed
    Then it opens with 0 entries
    And it has a new identity

  Scenario Outline: a crash at any sync point of a snapshot loses no entry
    Given a journal with 20 entries
    When a crash happens at sync <number> of a snapshot
    Then it opens with all 20 entries in snapshot and log

    Examples:
      | number |
      | 1      |
      | 2      |
      | 3      |
      | 4      |

  Scenario: a log suffix replaced by another leader stays replaced
    Given a journal with 20 entries
    When the entries from 15 on are replaced by 3 entries of term 9
    Then it opens with 17 entries
    And the last entry has term 9
