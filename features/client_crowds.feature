Feature: crowds of clients that take the memory of a process

  Scenario Outline: what clients hold takes a gateway over the memory of its machine
    Given 3 control hosts and 2 gateways started for the first time, each with 1024 descriptors
    And 2 instances with 1000 slots that read the bodies of requests
    When the operator puts a configuration that allows bodies of 4 MiB
    And a crowd of <count> clients each <act>, at the <listener> address
    Then an ordinary request is answered by it, once it is accepted
    And the process lives, within 200 MB with what it has not read, and 1024 descriptors

    Examples:
      | count | listener | act                                                        |
      | 24    | caller   | stop short of the end of a body in chunks of two bytes     |
      | 480   | caller   | stop one byte short of a body behind a head of 2500 fields |
      | 900   | caller   | stop one byte short of the end of a head                   |
      | 20    | caller   | send 16 requests with heads of 2500 fields that wait       |
      | 60    | caller   | write on behind a request that waits                       |
      | 30    | caller   | read nothing of the answers to large requests              |
      | 480   | ready    | stop one byte short of a body behind a head of 2500 fields |
      | 480   | own      | stop one byte short of a body behind a head of 2500 fields |
      | 8     | own      | stop short of the end of a body in chunks of two bytes     |

  Scenario Outline: what clients hold takes a control host over the memory of its machine
    Given 3 control hosts and 2 gateways started for the first time, each with 1024 descriptors
    And 2 instances with 1000 slots that read the bodies of requests
    When the operator puts a configuration of 1000 routes
    And a crowd of <count> clients each <act>, at the <listener> address
    Then an ordinary order is answered by it, once it is accepted
    And an ordinary look-up is answered by it, once it is accepted
    And the process lives, within 200 MB with what it has not read, and 1024 descriptors

    Examples:
      | count | listener  | act                                                        |
      | 60    | directory | stop one byte short of a body of 4 MiB                     |
      | 480   | directory | stop one byte short of a body behind a head of 2500 fields |
      | 8     | control   | stop short of the end of a body in chunks of two bytes     |
      | 480   | control   | stop one byte short of a body behind a head of 2500 fields |
      | 4     | control   | send an order of 4 MiB in items of one byte                |
      | 600   | control   | read nothing of the configuration                          |

  Scenario Outline: what strangers send takes a process over its memory through the peer address
    Given 3 control hosts and 2 gateways started for the first time, each with 1024 descriptors
    And 2 instances with 1000 slots that read the bodies of requests
    When the operator puts a configuration that allows bodies of 4 MiB
    And a crowd of 16 strangers each send a message of 16 MiB to a <role>
    Then an ordinary <work> by it, once it is accepted
    And the process lives, within 200 MB with what it has not read, and 1024 descriptors

    Examples:
      | role         | work                |
      | gateway      | request is answered |
      | control host | look-up is answered |

  Scenario Outline: connections without requests take all descriptors of a process
    Given 3 control hosts and 2 gateways started for the first time, each with 512 descriptors
    And 2 instances with 1000 slots that read the bodies of requests
    When the operator puts a configuration that allows bodies of 4 MiB
    And a crowd of 700 clients each connect and send nothing, at the <listener> address
    Then an ordinary <work> by it, once it is accepted
    And the process lives, within 200 MB with what it has not read, and 512 descriptors

    Examples:
      | listener  | work                |
      | caller    | request is answered |
      | ready     | request is answered |
      | own       | request is answered |
      | peer      | request is answered |
      | directory | look-up is answered |
      | control   | look-up is answered |

  Scenario: an upload that goes on is refused, or lost, for bodies that stand still
    Given 3 control hosts and 2 gateways started for the first time, each with 1024 descriptors
    And 2 instances with 1000 slots that read the bodies of requests
    When the operator puts a configuration that allows bodies of 16 MiB
    And a crowd of 60 clients each stop one byte short of a body of 4 MiB, at the caller address
    Then a body of 16 MiB of another caller, in pieces, is answered by it
    And the process lives, within 200 MB with what it has not read, and 1024 descriptors
