Feature: A restarted daemon never goes below what its address had in force

  Background:
    Given three daemons of one data centre with version 3 in force

  Scenario: It waits until it knows the floor
    Given the platform is down
    When a daemon starts alone with no peers
    Then it is not ready, says it waits for the platform, and tells callers "not_run"
    When the platform is up again
    Then the new daemon has version 3 in force

  Scenario: Peers give the floor and the version while the platform is down
    Given the platform is down
    When a daemon crashes and starts again with nothing
    Then it has version 3 in force again, by its peers alone

  Scenario: A peer behind does not lower the floor
    Given the platform is down
    And one peer is held at version 2
    When a daemon crashes and starts again with nothing
    Then it has version 3 in force again, by its peers alone

  Scenario: A living peer that does not answer leaves the floor unsure
    Given the platform is down
    And one peer is alive but does not answer about floors
    When a daemon crashes and starts again with nothing
    Then it is not ready and says which peer it waits for

  Scenario: Readers confirm the floor with few reads of the platform
    When 12 daemons start at once with nothing
    Then all have version 3 in force and the platform served less than 40 reads

  # A daemon that is to choose its port ends at its start if another one chose the same just before.
  Scenario: Daemons that choose their ports at the same time take different ones
    When 3 daemons that draw the same random ports are created and then start
    Then each of them listens at an address of its own

  Scenario: Nobody reverts through restarts and changes
    When daemons restart one after another while versions are accepted
    Then no invariant was violated
