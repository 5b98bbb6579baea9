Feature: reports of backend servers that are cold

  Scenario Outline: a report that differs is left out as redundant
    Given a server of which <stored> was stored <ago> ms ago by <host>
    When it reports that it is <reported>
    Then the report is <outcome>

    Examples:
      | stored            | ago  | host         | reported          | outcome    |
      | 3000 ms of cold   | 0    | this host    | cold for 3000 ms  | left out   |
      | 3000 ms of cold   | 1450 | this host    | cold for 1550 ms  | left out   |
      | 3000 ms of cold   | 1450 | this host    | cold for 1640 ms  | left out   |
      | 3000 ms of cold   | 1450 | this host    | cold for 1660 ms  | stored     |
      | 3000 ms of cold   | 4350 | this host    | cold for 1850 ms  | stored     |
      | 3000 ms of cold   | 4350 | this host    | cold for 3000 ms  | stored     |
      | 3000 ms of cold   | 1450 | this host    | cold for 1000 ms  | stored     |
      | 3000 ms of cold   | 1450 | this host    | warm              | stored     |
      | 3000 ms of cold   | 9000 | this host    | warm              | stored     |
      | 3000 ms of cold   | 1450 | another host | cold for 1550 ms  | stored     |
      | 3000 ms of cold   | 1450 | another host | cold for 50 ms    | stored     |
      | 3000 ms of cold   | 1450 | another host | warm              | stored     |
      | no cold           | 1450 | this host    | cold for 50 ms    | left out   |
      | no cold           | 1450 | another host | cold for 50 ms    | left out   |
      | no cold           | 1450 | another host | cold for 150 ms   | stored     |
      | no cold           | 1450 | this host    | warm              | left out   |

  Scenario Outline: a server whose reports <how> is taken for warm, or for cold long after
    Given servers whose reports <how>, by <hosts> control hosts that lag
    When each sends its heartbeats for 60 s, with 40 seeds
    Then no gateway takes one for warm before its last report says so
    And none takes one for cold 2 s longer than that
    And at most <part> of the reports are stored

    Examples:
      | how                          | hosts | part |
      | name a cold time once        | 1     | 0.2  |
      | name a cold time once        | 3     | 0.3  |
      | name short times soon again  | 1     | 1    |
      | name short times soon again  | 3     | 1    |
      | name a little more each time | 1     | 1    |
      | name a little more each time | 3     | 1    |
      | creep up in small steps      | 1     | 1    |
      | creep up in small steps      | 3     | 1    |
      | name a little less each time | 1     | 1    |
      | name any times               | 3     | 1    |
