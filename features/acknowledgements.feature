Feature: An acknowledged departure holds whoever ends, and whatever health checks say

  Background:
    Given daemons A, B and C on the users' platform, and a server "i-1" beside A that serves on
    And the server's health checks say that it serves

  # Guards against an acknowledgement that only processes know of, all of which lose power.
  Scenario Outline: What is acknowledged while <trouble> binds after all daemons were killed
    Given <trouble>
    When the server <says>
    And all daemons are killed, and start again when the store answers again
    And a heartbeat from before arrives
    Then no daemon sends the server a request, if it was acknowledged

    Examples:
      | trouble                            | says                 |
      | the store answers nobody           | leaves               |
      | the store answers nobody           | says that it drains  |
      | the store loses the next answer    | leaves               |
      | the store does the next write late | leaves               |

  # Guards against a server that is never told that it may end.
  Scenario: What the store couldn't be told is acknowledged once it answers, and then binds
    Given the store answers nobody
    When the server leaves, which isn't acknowledged
    And the store answers all daemons again
    And the server leaves, which is acknowledged
    And all daemons are killed, and start again when the store answers again
    And a heartbeat from before arrives
    Then no daemon sends the server a request

  # Guards against a health check that is believed while the store can't tell who has left.
  @known_red
  Scenario Outline: An acknowledgement binds while the store is away and the others know nothing
    When the server <says>, which is acknowledged
    And the other daemons start again, which forget what they were told
    And <trouble>
    And A is killed and starts again
    And a heartbeat from before arrives
    Then no daemon sends the server a request

    Examples:
      | says                | trouble                    |
      | leaves              | the store answers nobody   |
      | says that it drains | the store answers nobody   |
      | leaves              | the store doesn't answer A |
