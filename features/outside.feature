Feature: Operators write whole versions to one row of the platform's store

  Versions rise unevenly there, daemons have no seeds, and the store may be away.

  Background:
    Given the store holds version 3, and three daemons start without seeds

  Scenario: They find one another and have the version in force
    Then all of them have version 3 in force and know one another

  Scenario: A later version reaches all of them within a second
    When the operator writes version 10 with one more route
    Then all of them have version 10 in force within 1 second

  Scenario: A version that can't be read leaves the last one in force whole
    When the operator writes something that is no version
    And the operator writes version 12 with one more route
    Then all of them have version 12 in force within 3 seconds

  Scenario: The store forgets its history
    When the store forgets its history while the operator writes version 11
    Then all of them have version 11 in force within 3 seconds

  Scenario Outline: The store is away, and comes back
    Given the store answers with "<fault>"
    When 2 seconds pass
    And the store works again with version 20
    Then all of them have version 20 in force within 3 seconds

    Examples:
      | fault  |
      | outage |
      | busy   |
      | reset  |
      | silent |

  Scenario Outline: A daemon that was stopped comes back while the store is away
    Given the store answers with "<fault>"
    When one of them is stopped and restarts at the same address
    Then all of them have version 3 in force within 4 seconds

    Examples:
      | fault  |
      | outage |
      | silent |

  Scenario: The row comes slowly, in all longer than the time limit
    Given the store answers with "trickle"
    When one of them restarts as a new process at the same address
    Then all of them have version 3 in force within 5 seconds
    And none has lost the store

  Scenario Outline: The store turns one VM away and serves the others
    Given one of them reaches the store at an address of its own
    And the store answers with "<fault>" there
    When the operator writes version 14 with one more route
    Then all of them have version 14 in force within 3 seconds

    Examples:
      | fault  |
      | outage |
      | busy   |
      | reset  |
      | silent |

  Scenario Outline: The write of a daemon's own row gets no answer
    Given the next write to the store is "<fault>"
    When one more daemon starts
    Then all of them have version 3 in force and know one another
    And the row of each of them is in the store after 4 seconds

    Examples:
      | fault       |
      | lose_answer |
      | late        |

  Scenario: A daemon that restarts where nothing has changed asks for the fleet and the version
    Given the row of each of them is in the store after 3 seconds
    When the calls to the store are counted
    And one of them restarts as a new process at the same address
    Then all of them have version 3 in force and know one another
    And after 1 second the store was asked once for the daemons and once for the version

  Scenario: A fleet that starts for the first time asks for itself once and writes each row once
    Given the store holds version 5, and nine daemons start with it for the first time
    Then after 6 seconds each of them knows the others and has version 5 in force
    And each of them has written its row once and read the daemons once

  Scenario: Two that start together, with rows of daemons that are gone, find one another
    Given the store holds rows of three daemons that are gone
    When two daemons start in an instant
    Then after 8 seconds these two know one another

  Scenario: The store bounds the calls of a second
    Given the store takes 4 calls a second
    When the operator writes version 16 with one more route
    Then all of them have version 16 in force within 3 seconds

  Scenario: A daemon that starts while the store is away takes the version of its peers
    Given the store answers with "outage"
    When one of them restarts as a new process at the same address
    Then all of them have version 3 in force within 5 seconds

  Scenario: All restart at once and come back from the store alone
    When all of them restart as new processes
    Then all of them have version 3 in force and know one another

  Scenario: A version reaches the others while the readers of before are gone
    When two of them end without a word
    And the operator writes version 15 with one more route
    Then the last one has version 15 in force within 2 seconds

  Scenario: Eight of a larger fleet watch the row, and one that hears of nobody watches it too
    Given seven more daemons start
    Then eight of them are readers
    When one that is no reader hears of nobody any more
    And the operator writes version 17 with one more route
    Then all of them have version 17 in force within 2 seconds

  Scenario: A few of the readers watch closely, and the others ask the store seldom
    Given seven more daemons start
    When the calls to the store are counted
    Then after 6 seconds the row was watched 24 times at most

  Scenario: All open connections to the store go silent, and new ones work
    Given seven more daemons start
    And the store answers with "silent"
    When 7 seconds pass
    And the store works again with version 20
    Then all of them have version 20 in force within 3 seconds

  Scenario: The two whose turn it is to push a version are cut off from the store
    Given seven more daemons start
    When the store turns those away that would push version 18, and the operator writes it
    Then all of them have version 18 in force within 2 seconds

  Scenario: A version never goes back
    When the operator writes version 9 with one more route
    And all of them have version 9 in force
    And the row is overwritten with version 4
    Then all of them still have version 9 in force after 1 second

  Scenario: The row of a daemon that ended is swept, and no other
    When the row of each of them is in the store after 3 seconds
    And one of them ends without a word and the others notice
    And one of the others sweeps
    Then the rows of all of them are left
    When one of the others sweeps
    Then the rows of the others are left
