Feature: the process of the daemon

  Scenario: a process ends by itself once it is stopped
    Given a control host that runs as a process
    When it is told to stop
    Then it ends within 2 seconds with exit code 0

  Scenario: a process whose end hangs says where, and ends
    Given a control host that runs as a process, beside a thread that never ends
    When it is told to stop
    Then it ends within 2 seconds with exit code 1
    And its last words name the thread's function

  Scenario: a stopped process does not wait for the end of the interpreter
    Given a control host that runs as a process, whose interpreter ends slowly
    When it is told to stop
    Then it ends within 2 seconds with exit code 0

  Scenario Outline: a signal to reload that comes early does not end a process
    Given a <kind> that gets SIGHUP as it <moment>
    Then it reloads its settings by the signal and ends when it is stopped

    Examples:
      | kind         | moment                                  |
      | control host | imports fuchsiacart.exceptions          |
      | control host | imports fuchsiacart.platform.edge       |
      | control host | reads its settings                      |
      | gateway      | imports asyncio                         |
      | gateway      | imports fuchsiacart.settings_watchers   |
      | gateway      | reads its settings                      |

  Scenario: a signal to reload ends no process that has nothing to reload
    Given a control host that runs as a process
    When it is told to reload its settings, and to stop
    Then it ends within 2 seconds with exit code 0

  Scenario Outline: the soak tells a process that has exited from one that hangs
    Given a process that <state>
    Then the soak takes it for <verdict>

    Examples:
      | state                      | verdict |
      | has exited, not reaped     | exited  |
      | sleeps                     | there   |
      | is suspended by a signal   | there   |
      | has a thread left that sleeps | there |
