Feature: starts of backend servers that have ended

  Scenario Outline: a departure is undone by a call that arrives late
    Given a control group to which a start of a server is <known>
    And a control host that has applied <lag>
    When the start leaves by that host
    Then no call of it registers the server, however late
    And a later start registers it

    Examples:
      | known                                  | lag                         |
      | unknown                                | all of it                   |
      | registered                             | all of it                   |
      | registered                             | nothing                     |
      | registered with the largest sequence   | all of it                   |
      | registered with the largest sequence   | nothing                     |
      | unknown, but an earlier one registered | all of it                   |
      | unknown, but an earlier one registered | nothing                     |
      | draining                               | all of it                   |
      | draining                               | nothing                     |
      | removed for its silence                | all of it                   |
      | removed for its silence                | all but the last change     |
      | removed, its address used by another   | all of it                   |
      | removed, its address used by another   | all but the last two changes |
      | removed, and an earlier one too        | all but the last change     |

  Scenario Outline: a server that drains comes back after its removal for silence
    Given a control group to which a start of a server is <known>
    When the leader removes it for its silence
    Then no call of it registers the server, however late
    And a later start registers it

    Examples:
      | known               |
      | draining            |
      | reported to leave   |

  Scenario: a report that a server leaves is undone by its removal for silence, decided before
    Given a control group to which a start of a server is reported to leave
    When the leader removes it for its silence, as it knew no report
    Then no call of it registers the server, however late
    And a later start registers it

  Scenario: a report that a server leaves is not stored behind the largest sequence
    Given a control group to which a start of a server is registered with the largest sequence
    When a gateway reports that this start leaves
    Then no call of it registers the server as ready
    And a later start registers it

  Scenario: a server that was only silent is not registered again
    Given a control group to which a start of a server is registered
    When the leader removes it for its silence
    Then its next call registers the server

  Scenario: an instance that left after its removal for silence gets requests after a late heartbeat
    Given 3 control hosts and 2 gateways started for the first time
    And 2 instances of a service, of which one will leave by its answers alone
    When the operator puts a configuration
    Then the directory names both gateways
    And the instance gets requests through each gateway
    When the first instance is silent until it is removed
    And it leaves by one control host, and its held up heartbeats arrive at all
    Then it gets no request for 3 s
