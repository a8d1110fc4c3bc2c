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

  # Guards against a sound server that is out of use for as long as the store is away.
  Scenario: Without the store a server on new connections is believed once none can be that late
    When the other daemons start again, which forget what they were told
    And the store answers nobody
    And A is killed, and was started a while ago
    And the server is heard
    Then A serves for it within 1 second

  # Guards against a start that a clock which was set back makes look later than the daemon's.
  Scenario: A server that seems to start in the future isn't taken for one that started since
    Given the server seems to have started in an hour
    When the server leaves, which is acknowledged
    And the other daemons start again, which forget what they were told
    And the store answers nobody
    And A is killed and starts again
    And a heartbeat from before arrives
    Then no daemon sends the server a request

  # Guards against a server that is out of use because the daemon was started with it.
  Scenario: A true restart after the daemon's start is taken at once without the store
    When the server leaves, which is acknowledged
    And the other daemons start again, which forget what they were told
    And the store answers nobody
    And A is killed and starts again
    And the server starts again at this moment and is heard
    Then A serves for it within 1 second

  # Guards against a departure that doesn't tell its run, and is forgotten once a row tells of one.
  Scenario: A departure without a start binds though the server is then taken up from the row
    Given the server's health checks take a while
    When A is killed, and the server leaves without telling its start while A checks it
    And a heartbeat from before arrives
    Then no daemon sends the server a request

  # Guards against a server that was started after the daemon, and left before it was heard.
  Scenario: A departure without a start binds a run that was started after the daemon, too
    Given the server starts again at this moment, and the network holds up its heartbeat
    When the server leaves without telling its start, which is acknowledged
    And a heartbeat from before arrives
    Then no daemon sends the server a request

  # Guards against a message that is acknowledged, but ignored as it was overtaken by another.
  Scenario: A server that says that it drains does so though a later heartbeat has overtaken that
    When the server's message that it drains is overtaken by a heartbeat, and acknowledged
    Then no daemon sends the server a request

  Scenario: A late message of an earlier run that it drains doesn't concern the later run
    When the server starts again under its name and is heard
    And a message of its earlier run that it drains arrives
    Then A serves for it within 1 second

  # Guards against a row of before that a restored store returns, or one that can't be read.
  Scenario Outline: An acknowledgement binds all daemons' next processes though <loss>
    Given a copy of the store is kept
    When the server leaves, which is acknowledged
    And all daemons are killed, <loss>, and they start again
    And a heartbeat from before arrives
    Then no daemon sends the server a request

    Examples:
      | loss                                           |
      | the store comes back from the copy             |
      | the store comes back from a copy without rows  |
      | another writer spoils the row of A             |

  Scenario: A sound server is taken with its second message after the store came back from a copy
    Given a copy of the store is kept
    When all daemons are killed, the store comes back from the copy, and they start again
    And the server is heard twice on one connection
    Then A serves for it within 1 second

  # Guards against servers that are out of use after a loss of power until silent daemons are given up.
  Scenario: A new server is taken with its first message once the row is read, whoever is silent
    When A is killed, and starts again with rows of daemons that don't answer
    And another server at the address is heard
    Then A serves for it within 1 second
