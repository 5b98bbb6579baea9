Feature: links between regions and gossip

  Scenario: bytes sent to a region stay within the budget
    Given a budget of 100000 bytes a second to a region
    When requests of 1000 bytes arrive each ms for 10 seconds
    Then at most 1100000 bytes have crossed

  Scenario: urgent requests cross a link that background requests have filled
    Given a budget of 100000 bytes a second to a region
    When background requests fill the link
    Then an urgent request may cross
    And a background request may not

  Scenario: answers count against the budget
    Given a budget of 100000 bytes a second to a region
    When an answer of 300000 bytes has crossed
    Then an urgent request may not cross for 2 seconds

  Scenario: a round of gossip has a limited size
    Given a host that has heard of 4400 others
    Then a message of gossip holds at most 32 summaries
    And it goes to at most 3 hosts

  Scenario: an older summary never replaces a newer one
    Given a host that has heard of 10 others
    When an older summary and one of an older incarnation arrive
    Then the newer summary stays
