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
      | fleet                     |                |

  Scenario: The environment goes before the file and is named as the source
    When settings are read with the environment variable "HORNBEAMGW_DATA_CENTRE" set to "dar-2"
    Then the data centre is "dar-2" from "environment HORNBEAMGW_DATA_CENTRE"

  Scenario: The command ends with exit code 2 and all problems
    When the command "settings check" is run on a file with two bad values
    Then it ends with exit code 2 and two lines that name the file
