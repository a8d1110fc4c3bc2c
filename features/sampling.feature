Feature: Of many servers with few slots, some are asked before a request is sent

  The load is that of the users' grown deployments: 24 to 38 servers of a service with two slots
  each, whose speeds differ three to one, 90 daemons, and work of 76 ms with an objective of 486 ms.

  Scenario: Asking a few answers more in time than going by what was heard long ago
    Given 36 servers with 2 slots of speeds 0.5, 1 and 1.5, and lookups at 0.8 of what they can do
    When 90 daemons place 10 seconds of lookups by asking and by memory
    Then asking refuses at most a third as many
    And asking answers more in time

  Scenario: A service with few servers is not asked
    Given 5 servers with 2 slots of speeds 0.5, 1 and 1.5, and lookups at 0.8 of what they can do
    Then no server is asked

  Scenario: Those of one's own data centre are asked first, the fastest known among them
    Given 36 servers with 2 slots of speeds 0.5, 1 and 1.5, and lookups at 0.8 of what they can do
    When one of them is known to be three times as fast as the rest
    Then all servers asked first are of the own data centre, and that one is among them
    And those asked next are of other data centres

  Scenario Outline: Other data centres are asked only where an idle server there would be better
    Given 36 servers with 2 slots of speeds 0.5, 1 and 1.5, and lookups at 0.8 of what they can do
    When the best one found near has a wait of <wait> ms, and answers are <size> bytes large
    Then leaving the data centre is <worth>

    Examples:
      | wait | size  | worth     |
      | 30   | 1500  | not worth |
      | 120  | 20000 | not worth |
      | 420  | 1500  | worth     |

  Scenario: What a gate says beforehand is what it does
    Given a server with 2 slots that are taken for 100 ms more
    Then a lookup that can wait is told it would be taken, and is
    And a lookup that can't wait is told when to come back, and is refused
    And asking alone leaves nothing behind

  Scenario: A short call is told the wait at its own place in the queue
    Given a server with 2 slots that are taken for 100 ms more
    And 4 reports of 240 ms that wait there
    Then a check of 15 ms is told a wait of about 100 ms
