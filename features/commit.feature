Feature: An accepted edit is one version, whatever the platform does

  Background:
    Given a daemon with the example catalogue in force

  Scenario: The answer of a write is lost
    Given the platform will lose the answer of the next write
    When an operator edits "entry/booking"
    Then the edit is version 2 and no other version came of it

  Scenario: The request of a write is lost
    Given the platform will lose the request of the next write
    When an operator edits "entry/booking"
    Then the edit is version 2 and no other version came of it

  Scenario: The same edit id sent twice is one edit
    When an operator sends one edit twice by two daemons
    Then both answers name version 2 and no other version came of it

  Scenario: Operators race on different entries by two daemons
    When two operators edit different entries at once by two daemons
    Then both edits are in force on both daemons

  Scenario: Operators race on one entry by two daemons
    When two operators edit one entry at once by two daemons
    Then one edit is accepted and the other shows a conflict

  Scenario: A bad edit is refused whole
    When an operator adds a route to a service that is not there
    Then the edit is refused and version 1 stays in force

  Scenario: A bad version that got past acceptance is applied nowhere
    When a bad version is written straight into the platform
    Then every daemon keeps version 1 whole and says why it rejects version 2

  Scenario: A good version after a bad one is applied
    When a bad version is written straight into the platform
    And a good version follows the bad one
    Then version 3 is in force on both daemons

  Scenario: A committer dies after its write
    When an edit is written by a committer that dies before it spreads
    Then version 2 is in force on both daemons

  Scenario: Old deltas are compacted and a newcomer still catches up
    When 100 edits are accepted
    Then at most 65 delta rows are kept
    And a daemon that starts from nothing gets version 101 from the platform alone
