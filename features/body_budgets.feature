Feature: memory for the bodies of responses in flight

  Scenario: the largest body is given up once all together are too large
    Given a budget of 1000 bytes for all bodies in flight
    When bodies of 300, 600 and 200 bytes arrive piece by piece
    Then the one of 600 bytes is given up and the others are kept
    And 500 bytes are held

  Scenario Outline: answers without end leave an entry host's memory to the others
    Given an entry host and a backend server that <fault>
    When it sends it 12 requests at once, and 20 to a backend server that answers each request
    Then the 20 have their own answers from backend servers
    And the 12 have none, the memory of the process grew by at most 150 MB

    Examples:
      | fault                               |
      | sends a body without end            |
      | sends chunks without end            |
      | sends a head without end            |
      | sends interim responses without end |

  Scenario: an attempt that is cancelled collects nothing more
    Given an entry host and a backend server that sends chunks without end
    When it sends it 12 requests at once and cancels them all
    Then it holds no bytes of them a moment later, and the connections are closed

  Scenario: an endless answer to a probe is not collected
    Given an entry host and a backend server that answers probes without end
    When it asks the backend server 40 times at once whether it runs a request
    Then all probes are unanswered, the memory of the process grew by at most 50 MB

  Scenario: a body that is complete holds nothing
    Given a budget of 1000 bytes for all bodies in flight
    When bodies of 900 bytes arrive one after the other
    Then none is given up
