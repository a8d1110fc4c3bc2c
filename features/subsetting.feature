Feature: A daemon deals with the servers near it and some of the others

  The load is that of a fleet of hundreds: 82 servers of a service in five data centres, two slots
  each, 195 daemons, lookups of 140 ms with an objective of 712 ms.

  Scenario Outline: What a daemon deals with doesn't grow with the fleet
    Given <servers> servers in <places> data centres
    Then a daemon deals with all of its data centre and 12 of the others
    And no server is dealt with by more than 3 times as many daemons as the mean

    Examples:
      | servers | places |
      | 82      | 5      |
      | 400     | 9      |

  Scenario: A few servers are all dealt with
    Given 15 servers in 5 data centres
    Then a daemon deals with all 15

  Scenario: A server that ends changes what those deal with who dealt with it
    Given 82 servers in 5 data centres
    When one of another data centre ends
    Then a daemon that dealt with it deals with one it did not, and the others go on as before

  Scenario: Servers that are in doubt make room for living ones
    Given 82 servers in 5 data centres
    When all but 6 of the other data centres are in doubt
    Then a daemon deals with those 6, and with 6 in doubt

  Scenario Outline: Dealing with some serves as many as dealing with all
    Given 82 servers with 2 slots of speeds 0.5, 1 and 1.5 in 5 data centres
    When 195 daemons place 10 seconds of lookups at <load> of what they can do, with all and some
    Then with some at least 0.99 of the answers in time come in time

    Examples:
      | load |
      | 0.6  |
      | 0.85 |
      | 1.1  |
