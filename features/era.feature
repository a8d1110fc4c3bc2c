Feature: The platform's store comes back from a copy some seconds old

  What was acknowledged since the copy is gone, and states are given out anew from there. Operators
  write again what they had written, some time later.

  Background:
    Given the store holds version 3, and three daemons start without seeds

  Scenario: A version that the store has lost stays in force
    Given a copy of the store is kept
    When the operator writes version 9 with one more route
    And all of them have version 9 in force
    And the store comes back from that copy
    Then all of them still have version 9 in force after 1 second

  Scenario Outline: A later version is heard of, however the states have moved meanwhile
    Given a copy of the store is kept
    When the operator writes version 9 with one more route
    And all of them have version 9 in force
    And the store comes back from that copy
    And <writes> other rows are written
    And the operator writes version 12 with one more route
    Then all of them have version 12 in force within 2 seconds

    Examples:
      | writes |
      | 0      |
      | 1      |
      | 40     |

  Scenario: What was written while nobody reached the store is read, though its state is an old one
    Given a copy of the store is kept
    When the operator writes version 9 with one more route
    And all of them have version 9 in force
    And the store answers with "reset" from now on
    And the store comes back from that copy
    And the operator writes version 12 with one more route
    And 40 other rows are written
    And the store answers again
    Then all of them have version 12 in force within 2 seconds

  Scenario: It happens twice in a row
    Given a copy of the store is kept
    When the operator writes version 9 with one more route
    And all of them have version 9 in force
    And the store comes back from that copy
    And the operator writes version 11 with one more route
    And the store comes back from that copy
    And the operator writes version 14 with one more route
    Then all of them have version 14 in force within 2 seconds

  Scenario: A daemon that starts just then takes what its peers have in force
    Given a copy of the store is kept
    When the operator writes version 9 with one more route
    And all of them have version 9 in force
    And the store comes back from that copy
    And one more daemon starts
    Then all of them have version 9 in force within 3 seconds
    And it has had no older version in force

  Scenario: A daemon that starts again just then goes back to no older version
    Given a copy of the store is kept
    When the operator writes version 9 with one more route
    And all of them have version 9 in force
    And the store comes back from that copy
    And one of them restarts as a new process at the same address
    Then all of them have version 9 in force within 3 seconds
    And it has had no older version in force

  Scenario: Rows of daemons that were lost are there again within two seconds
    Given a copy of the store is kept
    And the row of each of them is in the store after 3 seconds
    When the store comes back from that copy
    Then the row of each of them is in the store after 2 seconds

  Scenario: All hear of it, also those that do not read the store
    Given seven more daemons start
    And a copy of the store is kept
    And the row of each of them is in the store after 4 seconds
    When the store comes back from that copy
    Then the row of each of them is in the store after 2 seconds

  Scenario: What was written long before the copy is not written again
    Given the row of each of them is in the store after 3 seconds
    And the daemons have been up for a long time
    And a copy of the store is kept
    When the calls to the store are counted
    And the store comes back from that copy
    Then after 2 seconds no row was written

  Scenario: Another content under a version in force is told, and changes nothing
    Given a copy of the store is kept
    When the operator writes version 9 with one more route
    And all of them have version 9 in force
    And the store comes back from that copy
    And the row is overwritten with version 9
    Then after 2 seconds version 9 still has the routes that it had

  # Guards against an era that does not fit into its field, so that a daemon can send nothing.
  Scenario Outline: An era of any size is told to other daemons
    Then a datagram that tells of era <era> is read as such

    Examples:
      | era           |
      | 0             |
      | 4294967295    |
      | 4294967296    |
      | 1764763000000 |
