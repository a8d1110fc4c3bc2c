Feature: A backend server may start again under its name, and other writers' words name none

  Scenario: A new run begins its sequence anew
    Given a heartbeat 7 of "i-1" started at 1000 that is "serving"
    And a heartbeat 1 of "i-1" started at 2000 that is "serving"
    Then that heartbeat was news
    And the run started at 2000 is "serving"

  Scenario: A new run does not drain because the one before did
    Given a heartbeat 7 of "i-1" started at 1000 that is "draining"
    And a heartbeat 1 of "i-1" started at 2000 that is "serving"
    Then the run started at 2000 is "serving"

  Scenario: A new run lives, though the one before has left
    Given a heartbeat 7 of "i-1" started at 1000 that is "serving"
    And the run of "i-1" started at 1000 has left
    And a heartbeat 1 of "i-1" started at 2000 that is "serving"
    Then the run started at 2000 is "serving"

  Scenario: A late heartbeat of the run before tells nothing
    Given a heartbeat 1 of "i-1" started at 2000 that is "serving"
    And a heartbeat 99 of "i-1" started at 1000 that is "draining"
    Then that heartbeat was late
    And the run started at 2000 is "serving"

  Scenario: A late farewell of the run before ends nothing
    Given a heartbeat 1 of "i-1" started at 2000 that is "serving"
    And the run of "i-1" started at 1000 has left
    Then the run started at 2000 is "serving"

  Scenario: A late heartbeat of another server that was started before tells nothing
    Given a heartbeat 1 of "i-2" started at 2000 that is "serving"
    And a heartbeat 99 of "i-1" started at 1000 that is "serving"
    Then that heartbeat was late
    And the run started at 2000 is "serving"

  Scenario: Nor does it once the later server has left
    Given a heartbeat 1 of "i-2" started at 2000 that is "serving"
    And the run of "i-2" started at 2000 has left
    And a heartbeat 99 of "i-1" started at 1000 that is "serving"
    Then that heartbeat was late

  Scenario: After a clock was set back a new server is heard once the last one is silent
    Given a heartbeat 9 of "i-1" started at 5000 that is "serving"
    When nothing is heard for 7 seconds
    And a heartbeat 1 of "i-2" started at 2000 that is "serving"
    Then that heartbeat was news
    And the run started at 2000 is "serving"

  Scenario: What runs at the old run ends, and what was learned of it is forgotten
    Given a gate that runs a lookup at "i-1" started at 1000, and knows it as slow and draining
    When "i-1" is announced as started at 2000
    Then the lookup may have run, for its server broke
    And the gate takes new work and knows nothing of how fast its server is

  # Guards against connections to a run that has ended, which count against those to the next one.
  Scenario: No connection is kept to a run that ended while it worked
    Given a gate that runs a lookup at "i-1" started at 1000, and knows it as slow and draining
    When "i-1" is announced as started at 2000
    Then the gate has no connection to a server

  Scenario: Nothing is kept of a run that ended before the next one was announced
    Given a gate that runs a lookup at "i-1" started at 1000, and knows it as slow and draining
    When "i-1" leaves, and is announced as started at 2000
    Then the gate takes new work and knows nothing of how fast its server is

  Scenario: Other daemons forget how slow and faulty a server was
    Given a daemon that has seen "gate-1" started at 1000 as slow and failing
    When its record says that it was started at 2000
    Then nothing is known of its speed and its failures

  Scenario Outline: A heartbeat with <fault> is refused, and the server there holds
    Given a daemon beside the server "i-1" on the users' platform
    When it hears a heartbeat with <fault>
    Then that is answered 400 with a line that names it
    And the server there is still "i-1"

    Examples:
      | fault                        |
      | no service                   |
      | no address                   |
      | no sequence                  |
      | a text for the sequence      |
      | a number for the service     |
      | a text for the start         |
      | an unknown state             |
      | an unknown service           |
      | no slots at all              |
      | an address that is none      |
      | bytes that can't be read     |
      | a list                       |
      | no id                        |

  Scenario Outline: A daemon's row with <fault> names no daemon, and the others hold
    Given rows of two daemons, one of them with <fault>
    Then only the other is found

    Examples:
      | fault                      |
      | bytes that can't be read   |
      | no address                 |
      | another daemon's address   |
      | an address that is none    |
      | a text for the incarnation |
      | a negative sequence        |
      | an unknown state           |
      | too many slots             |

  Scenario Outline: A stored row with <fault> spoils no others
    Given the store gives two rows, one of them with <fault>
    Then the adapter returns just the other row

    Examples:
      | fault                   |
      | a number for the value  |
      | a value that isn't text |
      | no key                  |
      | a map for the version   |
