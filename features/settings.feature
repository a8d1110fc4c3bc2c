Feature: Settings are checked whole at start

  Scenario Outline: A bad setting names the file, the key, the value and what was expected
    When a settings file is read in which "<key>" is "<value>"
    Then a settings problem names "<key>"

    Examples:
      | key                       | value          |
      | unknown                   | 1              |
      | address                   | localhost:80   |
      | seeds                     | 7              |
      | platform.timeout          | 5              |
      | platform.timeout          | 5 parsecs      |
      | calls.replay_limit        | 64             |
      | calls.balancing           | fastest        |
      | log_level                 | LOUD           |
      | event_loop                | fastest        |
      | fleet                     |                |

  Scenario: The environment goes before the file and is named as the source
    When settings are read with the environment variable "HORNBEAMGW_DATA_CENTRE" set to "dar-2"
    Then the data centre is "dar-2" from "environment HORNBEAMGW_DATA_CENTRE"

  Scenario: The command ends with exit code 2 and all problems
    When the command "settings check" is run on a file with two bad values
    Then it ends with exit code 2 and two lines that name the file

  Scenario Outline: An address is an IP address and a port
    # Guards against a short way of checking IPv4 addresses that differs from the whole check.
    When the address "<address>" is checked
    Then it is <verdict>

    Examples:
      | address                | verdict  |
      | 0.0.0.0:0              | accepted |
      | 10.0.0.7:7400          | accepted |
      | 255.255.255.255:65535  | accepted |
      | [::1]:7400             | accepted |
      | [fe80::1%eth0]:7400    | accepted |
      | 256.0.0.1:80           | refused  |
      | 10.0.0.07:80           | refused  |
      | 10.0.0:80              | refused  |
      | 10.0.0.1.2:80          | refused  |
      | 10.0.0.1:65536         | refused  |
      | 10.0.0.1:-1            | refused  |
      | 10.0.0.1               | refused  |
      | localhost:80           | refused  |
      | ١0.0.0.1:80            | refused  |

  Scenario: The short check of an address agrees with the whole one
    # Guards against the same, over random texts.
    When 3000 random texts that resemble addresses are checked
    Then each is judged as the standard library judges it

  Scenario Outline: Settings in JSON and in YAML give the same result
    # Guards against a problem that is found in one of the two ways of reading only.
    When settings with "<key>" as "<value>" are read from JSON and from YAML
    Then both give the same settings and the same problems

    Examples:
      | key                  | value        |
      | log_level            | DEBUG        |
      | log_level            | LOUD         |
      | bandwidth            | 30.714285714 |
      | bandwidth            | -1           |
      | unknown              | 1            |
      | address              | localhost:80 |
      | calls.replay_limit   | 64KiB        |
      | calls.replay_limit   | 64           |
      | platform.timeout     | 5 parsecs    |
      | first_start          | true         |
      | fleet                |              |
      | budget.ratio         | null         |

  Scenario: Text that begins like JSON and is YAML is read as YAML
    # Guards against an error for a flow mapping, which the deploy template may render.
    When a settings file is read whose text is a flow mapping of YAML
    Then it gives the settings that it states
