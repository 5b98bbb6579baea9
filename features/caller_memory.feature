Feature: callers that hold much memory of a process

  Scenario Outline: a crowd of large requests ends a gateway, or denies others
    Given 3 control hosts and 2 gateways started for the first time
    And 2 instances that read the bodies of requests
    When the operator puts a configuration that allows bodies of 4 MiB
    And 60 callers each <act> to a gateway
    Then the gateway lives, within 200 MB and 512 descriptors
    And an ordinary request of another caller is answered by it

    Examples:
      | act                                                    |
      | stop one byte short of a body with a length            |
      | stop one byte short of a body in chunks                |
      | send a whole body at once                              |
      | send three bodies one behind the other                 |
      | read nothing of the answers to twelve requests         |

  Scenario: a crowd of large requests ends a control host, or denies others
    Given 3 control hosts and 2 gateways started for the first time
    And 2 instances that read the bodies of requests
    When the operator puts a configuration that allows bodies of 4 MiB
    And 60 callers each stop one byte short of a body with a length to a control host
    Then the control host lives, within 200 MB and 512 descriptors
    And an ordinary order is accepted by it

  Scenario: a crowd of connections leaves no descriptor to others
    Given 3 control hosts and 2 gateways started for the first time, each with 512 descriptors
    And 2 instances that read the bodies of requests
    When the operator puts a configuration that allows bodies of 4 MiB
    And 700 callers each stop in the middle of a head to a gateway
    Then the gateway lives, within 200 MB and 512 descriptors
    And an ordinary request of another caller is answered by it

  Scenario: a single request of the largest size is refused, or takes too much memory
    Given 3 control hosts and 2 gateways started for the first time
    And 2 instances that read the bodies of requests
    When the operator puts a configuration that allows bodies of 64 MiB
    And a caller sends a body of 64 MiB to a gateway
    Then it is answered 200 with the size of the body
    And the gateway lives, within 200 MB and 512 descriptors
