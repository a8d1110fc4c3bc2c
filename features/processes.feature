Feature: Daemons as processes, driven by the command line

  Scenario: A planned stop finishes what is in flight
    Given a fleet of 2 processes with a roster server beside the second
    When the second daemon is told to stop while a call runs there
    Then the call is answered whole
    And the daemon exits with code 0
    And a later call is told "not_run"

  Scenario: A second signal ends the daemon and says what it cut off
    Given a fleet of 2 processes with a roster server beside the second
    When the second daemon is told twice to stop while a call runs there
    Then the daemon exits with code 3 and its log names the call that was cut off
    And its log tells that this call waited for the "server", and for how long

  Scenario: SIGHUP is no reason to stop
    Given a fleet of 2 processes with a roster server beside the second
    When the second daemon gets SIGHUP with log level "WARNING" while a call runs there
    Then the call is answered whole
    And its log tells that "log_level" is in force

  Scenario: An operator's day on the command line
    Given a fleet of 2 processes with a roster server beside the second
    Then "catalogue show" gives a file that "catalogue apply" takes without a change
    And "catalogue apply --wait" of an edited file is in force on both daemons
    And "catalogue apply" of the older file ends with exit code 3 and shows both sides
    And "catalogue diff" of the older file shows the change
    And "catalogue history" names both versions
    And "status" shows both members and no laggard
    And "explain" names the route, its limits and the backend server
    And "histograms" has a row for the owner and class
    And "timeline" shows how each daemon got the version
    And a daemon that is not there gives exit code 1

  Scenario: A daemon uses no io_uring and starts no process
    Given a fleet of 2 processes with a roster server beside the second
    Then no descriptor of a daemon is an io_uring and it has no child
