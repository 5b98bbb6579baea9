Feature: odd entries of other writers end no process

  Scenario Outline: an odd heartbeat is refused and names no server
    Given a heartbeat as an instance sends it
    When another writer sets its <field> to <oddity>
    Then the entry is refused as malformed

    Examples:
      | field       | oddity                     |
      | colour      | a list 100000 deep         |
      | slots       | a list 100000 deep         |
      | slots       | a number of 20 digits      |
      | slots       | a number of 5000 digits    |
      | slots       | 9223372036854775808        |
      | slots       | 65536                      |
      | seq         | 9223372036854775808        |
      | seq         | a number of 30 digits      |
      | born        | a number of 30 digits      |
      | cold_left_s | 1e308                      |
      | cold_left_s | a number of 400 digits     |
      | address     | "10.0.0.1:0"               |
      | address     | "10.0.0.1:65536"           |
      | address     | "10.0.0.999:80"            |
      | address     | "0.0.0.0:80"               |
      | address     | "10.0.0.1:80\n"            |
      | service     | a text of 100000 letters   |
      | zone        | a text of 100000 letters   |

  Scenario Outline: a heartbeat under a name that no header can carry is refused
    Given a heartbeat as an instance sends it
    When another writer sends it under <name>
    Then the entry is refused as malformed

    Examples:
      | name                     |
      | "a\r\nb"                 |
      | "a b"                    |
      | "\u4e2d"                 |
      | a text of 100000 letters |

  Scenario Outline: an odd departure is refused
    Given a departure as an instance sends it
    When another writer sets its <field> to <oddity>
    Then the entry is refused as malformed

    Examples:
      | field  | oddity                  |
      | colour | a list 100000 deep      |
      | born   | a list 100000 deep      |
      | born   | a number of 30 digits   |
      | born   | a number of 5000 digits |

  Scenario Outline: an odd configuration is refused before it reaches the log
    Given a configuration as an operator puts it
    When another writer sets its <field> to <oddity>
    Then the entry is refused as malformed

    Examples:
      | field                            | oddity                   |
      | colour                           | a list 100000 deep       |
      | version                          | a text of 5000 digits    |
      | version                          | a text of 30 digits      |
      | base_version                     | a number of 30 digits    |
      | base_version                     | a text of 5000 digits    |
      | resources.0.colour               | a list 100000 deep       |
      | resources.0.type                 | "colours"                |
      | resources.0.metadata             | a list 100000 deep       |
      | resources.0.spec.colour          | a list 100000 deep       |
      | resources.0.spec.priority        | a number of 30 digits    |
      | resources.0.spec.priority        | a number of 5000 digits  |
      | resources.0.spec.max_attempts    | 9223372036854775808      |
      | resources.0.spec.timeout_s       | 1e308                    |
      | resources.0.spec.split.0.weight  | 1e308                    |
      | resources.1.spec.max_conns       | a number of 30 digits    |
      | resources.1.spec.cold_start_s    | 1e308                    |
      | resources.3.spec.idle_timeout_s  | 1e308                    |
      | resources.3.spec.max_body_bytes  | a number of 30 digits    |

  Scenario Outline: the largest proper numbers can be stored
    Given a heartbeat as an instance sends it
    When another writer sets its <field> to <value>
    Then it is stored as a command and read again

    Examples:
      | field       | value               |
      | slots       | 65535               |
      | seq         | 9223372036854775807 |
      | born        | 9223372036854775807 |
      | cold_left_s | 9007199254740992    |
      | address     | "10.0.0.1:65535"    |

  Scenario Outline: an odd load in a server's answer is read as none
    When a server answers 200 with a load of <oddity>
    Then its answer is read as no load

    Examples:
      | oddity                           |
      | a number of 400 digits running   |
      | a number of 30 digits running    |
      | 65536 running                    |

  Scenario: an order that no log can hold is refused alone
    Given 3 control hosts on a network that can be cut
    And a leader has been elected
    When 40 orders that no log can hold arrive among 5 changes
    Then the 40 are refused as malformed and the 5 are accepted
    And the leader has gone on all the time

  Scenario: a message that cannot be encoded is refused before it is sent
    Given a process that answers behind a proxy
    When a command that cannot be encoded is sent to it
    Then the call is refused as malformed and not run

  Scenario Outline: an odd address in the view costs no request
    Given a gateway with 2 servers, of which the first answers
    When the view names <address> as the address of the first
    And an idempotent request is served
    Then the caller gets 200 after 1 attempts

    Examples:
      | address         |
      | 127.0.0.1:0     |
      | 127.0.0.1:65536 |
      | nowhere:80      |
      | 127.0.0.1:x     |

  Scenario: a server whose name no header can carry costs no time
    Given a server that answers each request
    When a request is sent whose headers cannot be written
    Then it fails within 200 ms

  Scenario Outline: an odd time to keep a connection spoils no answer
    Given a server that keeps its connections for a time of <digits> digits
    When a request is sent
    Then it has its own answer

    Examples:
      | digits |
      | 400    |
      | 5000   |
