Feature: An acknowledged departure binds the daemon's next process, too

  Background:
    Given daemons A, B and C on the users' platform, and a server "i-1" beside A that serves on

  # Guards against requests at a server that has left, after its daemon was started again.
  Scenario Outline: A late heartbeat of a server that <said> isn't believed after A was <ended>
    When the server <says>, which is acknowledged
    And A is <ended> and starts again
    And a heartbeat from before arrives
    Then no daemon sends the server a request

    Examples:
      | said             | says                   | ended      |
      | left             | leaves                 | killed     |
      | left             | leaves                 | terminated |
      | drained          | says that it drains    | killed     |
      | drained and left | drains and then leaves | killed     |

  # Guards against the same by what the server's answers say, which has no acknowledgement.
  Scenario: A server whose answers say that it leaves stays out after A was killed
    When an answer of the server has said that it leaves, and time passes
    And A is killed and starts again
    And a heartbeat from before arrives
    Then no daemon sends the server a request

  # Guards against a departure that is known to nobody but the process that acknowledged it.
  Scenario Outline: A departure while <trouble> is acknowledged, and binds when <later>
    Given <trouble>
    When the server leaves, which is acknowledged
    And A is killed, and starts again when <later>
    And a heartbeat from before arrives
    Then no daemon sends the server a request

    Examples:
      | trouble                           | later                             |
      | the store loses the next answer   | the store answers again           |
      | the store does the next write late | the store answers again         |
      | the other daemons have ended      | the other daemons have ended      |

  # Guards against requests at a server that nobody could promise to spare, as only daemons know it.
  Scenario Outline: A departure while <trouble> isn't acknowledged, and binds all the same when <later>
    Given <trouble>
    When the server leaves, which isn't acknowledged
    And A is killed, and starts again when <later>
    And a heartbeat from before arrives
    Then no daemon sends the server a request

    Examples:
      | trouble                           | later                             |
      | the store answers nobody          | the store answers nobody          |
      | the store answers nobody          | the store answers again           |
      | the store doesn't answer A        | the store doesn't answer A        |
      | the store doesn't answer A        | the store answers again           |

  # Guards against trust in health checks, which may be late to tell that a server leaves.
  Scenario Outline: A departure while <trouble> binds though health checks say that the server serves
    Given the server's health checks say that it serves
    And <trouble>
    When the server leaves, which <is> acknowledged
    And A is killed, and starts again when <later>
    And a heartbeat from before arrives
    Then no daemon sends the server a request

    Examples:
      | trouble                    | later                   | is    |
      | the store answers          | the store answers again | is    |
      | the store answers nobody   | the store answers again | isn't |
      | the store doesn't answer A | the store answers again | isn't |

  # Guards against a daemon that takes itself for the only one, as it finds no rows of others.
  Scenario: What only the others know binds though their rows are missing
    Given the store has lost the rows of the other daemons
    And the store answers nobody
    When the server leaves, which isn't acknowledged
    And A is killed, and starts again when the store answers again
    And a heartbeat from before arrives
    Then no daemon sends the server a request

  # Guards against an acknowledgement that would not outlive the process that gives it.
  Scenario: A departure that the store can't confirm isn't acknowledged, and holds all the same
    Given the other daemons have ended
    And the store answers nobody
    When the server leaves
    Then that isn't acknowledged, within 1 second
    And A doesn't send the server a request

  # Guards against a heartbeat that is believed while nobody can tell what was acknowledged.
  Scenario: The server isn't believed where neither the store nor the others can tell
    When the server leaves, which is acknowledged
    And the other daemons start again, which forget what they were told
    And the store answers nobody
    And A is killed and starts again
    And a heartbeat from before arrives
    Then no daemon sends the server a request

  # Guards against keepers that were started again, and take what they have forgotten for nothing.
  Scenario: The server is asked where the others have forgotten what the store was never told
    Given the store answers nobody
    When the server leaves, which isn't acknowledged
    And A is killed, the other daemons start again, and A starts when the store answers again
    And a heartbeat from before arrives
    Then no daemon sends the server a request

  # Guards against a late heartbeat that passes for a later run of one that is known to have left.
  Scenario: A later run under the name of one that left isn't believed, either, where nobody can tell
    When the server leaves, which is acknowledged
    And the server starts again under its name and is heard
    And A can't reach the others, and the network holds up a heartbeat
    And the server leaves, which is acknowledged
    And the store answers nobody
    And A is killed and starts again
    And a heartbeat from before arrives
    Then no daemon sends the server a request

  # Guards against a sound server that is out of use until the store answers.
  Scenario: A server that says again that it serves is taken where nobody can tell
    When the other daemons start again, which forget what they were told
    And the store answers nobody
    And A is killed and starts again
    And the server is heard twice on one connection
    Then A serves for it within 1 second

  # Guards against two late heartbeats, neither of which was sent after the daemon's start.
  Scenario: Two heartbeats from before don't count as sent since the start
    Given the server's health checks say that it serves
    When the server leaves, which is acknowledged
    And the other daemons start again, which forget what they were told
    And the store answers nobody
    And A is killed and starts again
    And two heartbeats from before arrive, each on its own connection
    Then no daemon sends the server a request

  # Guards against a server that can't be asked, and is out of use for a minute.
  Scenario: A server without health checks is taken once the row and the others were heard
    Given services have no health checks
    When the other daemons start again, which forget what they were told
    And A is killed and starts again
    And the server is heard
    Then A serves for it within 1 second

  # Guards against a server that is taken for the one before it.
  Scenario Outline: A true restart of a server that <said> is taken at once after A was killed
    When the server <says>, which is acknowledged
    And A is killed and starts again
    And the server starts again under its name and is heard
    Then A serves for it within 1 second

    Examples:
      | said    | says                |
      | left    | leaves              |
      | drained | says that it drains |

  # Guards against an acknowledgement that takes the place of the former ones.
  Scenario: Later departures don't push out the first one
    When the server leaves, which is acknowledged
    And A is killed and starts again
    And three other servers leave, which is acknowledged
    And A is killed and starts again
    And a heartbeat from before arrives
    Then no daemon sends the server a request

  # Guards against a server that leaves while its daemon checks whether it may take it up.
  Scenario: A server that leaves while it is checked isn't taken up
    Given the server's health checks take a while
    When A is killed, and the server leaves while A checks it
    Then no daemon sends the server a request

  # Guards against a late heartbeat after a departure that doesn't say which run has left.
  Scenario: A departure without a start is that of the run that was taken up
    When A is killed and starts again
    And A has taken up the server
    And the server leaves without telling its start, which is acknowledged
    And a heartbeat from before arrives
    Then no daemon sends the server a request
