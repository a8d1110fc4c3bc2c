Feature: What a daemon decided can be read afterwards, and reading it costs no caller

  Scenario: A log that nobody reads never blocks
    Given a log written to a pipe that nobody reads
    When 20000 lines are logged
    Then it took less than 5 seconds and lines were dropped

  Scenario: The volume is bounded and what was dropped is counted
    Given a log written to a file
    When 5000 lines are logged
    Then at most 1001 lines are written
    When 10 seconds pass for it and one more line is logged
    Then a line tells how many were dropped

  Scenario: A warning is not crowded out by decisions
    Given a log written to a file
    When 5000 lines are logged
    And a warning is logged
    Then the warning is written

  Scenario: A plain line says what the library's formatter would
    When a line is formatted with each kind of record
    Then each reads as the library's formatter writes it

  Scenario: A call can be followed from its id
    Given daemons that log, and a busy roster server beside the second
    When two calls arrive of which one finds no slot
    Then the first one's line tells "answered" and where it was placed by which report
    And the second one's lines tell "no_slot", the slots that were used and when to come back

  Scenario: Counters and latencies are served as text
    Given daemons that log, and a busy roster server beside the second
    When two calls arrive of which one finds no slot
    Then the metrics of the first daemon count both and give latencies by owner and class

  Scenario: Settings that changed are taken up without a restart
    Given a daemon's settings file with log level "INFO"
    When the file changes to log level "WARNING" and is read again
    Then the level in force is "WARNING"
    When the file changes to log level "LOUD" and is read again
    Then the level in force is "WARNING"
