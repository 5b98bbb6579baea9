Feature: configurations that hold accounts

  Scenario: accounts and downloads are not read, or not read back as they were sent
    Given a configuration with the tenants anna and berta and a download
    When an operator puts it
    Then it is accepted, and read back as it was sent
    And requests of the download may run again

  Scenario Outline: an invalid account is accepted, or its refusal names no field
    Given a configuration with the tenants anna and berta and a download
    When anna has <field> <value>
    And an operator puts it
    Then it is refused as malformed, with <told> in the error and no key

    Examples:
      | field        | value            | told         |
      | api_keys     | "a-key"          | api_keys     |
      | api_keys     | [7]              | api_keys     |
      | api_keys     | [""]             | api_keys     |
      | api_keys     | ["two words"]    | api_keys     |
      | api_keys     | ["end\n"]        | api_keys     |
      | api_keys     | ["b-secret"]     | share a key  |
      | rate_per_s   | "fast"           | rate_per_s   |
      | rate_per_s   | -1               | rate_per_s   |
      | burst        | null             | burst        |
      | priority     | 0.5              | priority     |
      | home_regions | "cymru"          | home_regions |
      | name         | ""               | tenants      |
      | name         | "two words"      | tenants      |
      | name         | 7                | name         |

  Scenario: a key of one account is taken over by another in one change
    Given a configuration with the tenants anna and berta and a download
    When an operator puts it
    And an operator moves the key of berta to anna
    Then the change is accepted

  Scenario: an account that is removed keeps its key
    Given a configuration with the tenants anna and berta and a download
    When an operator puts it
    And an operator removes berta
    Then the change is accepted, and no account holds the key of berta

  Scenario: keys reach gateways, in the view or in changes of it
    Given a configuration with the tenants anna and berta and a download
    When an operator puts it
    Then neither the view of a gateway nor the change holds a key
    And the view has a digest of each key

  Scenario: a build that cannot read accounts passes over them
    Given b2f1ab7 and an order with an account or a download
    Then b2f1ab7 refuses each, and this build reads it

  Scenario: keys are accepted by some gateways only, kept after they are taken away, or logged
    Given 3 control hosts and 2 gateways started for the first time
    And 2 instances of a service that send heartbeats
    When the operator puts a configuration with tenants
    Then a request with a key is served by each gateway under the name of its tenant
    And a request without a key or with another one is answered 401 by each gateway
    And the configuration is read back as it was put at each control host
    When the operator takes the key away
    Then a request with that key is answered 401 by each gateway
    And no process has logged a key
