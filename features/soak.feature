Feature: Promises hold while real processes are harmed from outside

  Daemons and backend servers run as processes; signals kill, stop and pause them, and proxies delay,
  cut one way, silence and reset the paths to the platform, the backend servers and the callers.

  Scenario Outline: A seed breaks no promise
    When 6 nodes are harmed 8 times by seed <seed>
    Then no call is lost, doubled, not whole or told falsely, and no version goes back
    And afterwards a change is in force everywhere and callers are served

    Examples:
      | seed |
      | 3    |

  @known_red
  Scenario Outline: Planned work takes no short call from callers that keep their connections
    When daemons stop as planned for <seconds> s by seed <seed> under short calls
    Then each whole request got a whole answer or a whole refusal, and each daemon stopped in time

    Examples:
      | seconds | seed |
      | 12      | 1    |

  # Guards against limits and leaving that a daemon forgets as it is stopped and started again.
  @known_red
  Scenario Outline: Daemons that are started again keep to what servers declare
    When daemons stop as planned for <seconds> s by seed <seed> under short calls while servers name limits and leave
    Then each whole request got a whole answer or a whole refusal, and each daemon stopped in time
    And servers have named limits and have left

    Examples:
      | seconds | seed |
      | 15      | 1    |

  # Guards against links that had more to send than a daemon can send while it stops.
  @known_red
  Scenario Outline: Planned work takes no large answer from callers that keep their connections
    When daemons stop as planned for <seconds> s by seed <seed> under short calls and large answers
    Then each whole request got a whole answer or a whole refusal, and each daemon stopped in time
    And the links were used to 0.5 of their width at least

    Examples:
      | seconds | seed |
      | 15      | 1    |
      | 15      | 3    |
      | 15      | 19   |

  Scenario Outline: Of requests that end at a planned stop, the soak counts those that were lost
    Given a daemon that was told to stop at 100 s and ended at 106 s
    When a request sent at <sent> s with a deadline of 5 s ends at <ended> s as "<end>", its server at work from <from> to <to> s
    Then the soak calls it "<promise>"

    Examples:
      | sent  | ended  | end            | from  | to    | promise       |
      | 99.0  | 101.0  | cut midway     | 99.0  | 99.1  | cut_midway    |
      | 99.0  | 101.0  | cut unanswered | 99.0  | 101.5 | cut_passed_on |
      | 99.0  | 101.0  | cut unanswered | 0     | 0     | cut_read      |
      | 100.9 | 101.0  | cut unanswered | 0     | 0     | nothing       |
      | 99.0  | 104.1  | cut midway     | 99.0  | 99.1  | nothing       |
      | 102.9 | 105.9  | cut unanswered | 103.0 | 106.5 | may be cut    |
      | 103.1 | 105.9  | cut unanswered | 103.2 | 106.5 | cut_passed_on |
      | 102.9 | 104.9  | cut unanswered | 103.0 | 104.8 | cut_passed_on |
      | 102.9 | 105.2  | cut midway     | 103.0 | 103.1 | cut_midway    |
      | 99.0  | 101.0  | may have run   | 99.0  | 101.5 | replaced      |
      | 99.0  | 103.9  | deadline       | 99.0  | 104.5 | replaced      |
      | 99.0  | 103.9  | may have run   | 99.0  | 104.5 | replaced      |
      | 99.0  | 103.99 | deadline       | 99.0  | 104.5 | nothing       |
      | 99.0  | 103.99 | may have run   | 99.0  | 104.5 | replaced      |
      | 99.0  | 101.0  | not run        | 0     | 0     | nothing       |
      | 99.0  | 101.0  | answered       | 99.0  | 100.9 | nothing       |

  Scenario Outline: Of requests that a leaving server gets, the soak counts those whose daemon knew
    Given a daemon that was told to stop at 100 s and ended at 106 s
    When it passed on at <told> s that a server leaves, which gets a request of its at <sent> s
    Then the soak counts <count> requests to a leaving server

    Examples:
      | told  | sent  | count |
      | 90.0  | 93.0  | 1     |
      | 90.0  | 91.5  | 0     |
      | 99.0  | 102.0 | 1     |
      | 99.0  | 110.0 | 0     |
      | 101.0 | 110.0 | 0     |
      | 107.0 | 110.0 | 1     |

  Scenario: The soak counts false tales, second runs and what nobody ended
    Given a daemon that was told to stop at 100 s and ended at 106 s
    Then a request told "not run" that ran is "said_not_run_but_ran"
    And a booking that ran twice is "ran_twice"
    And an answer that no server gave is "not_of_a_server"
    And a daemon that ends with code 3 or -9 is "exit_code"
