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

  # Guards against a query for each request of a service that has slots to spare.
  Scenario: A server that has just reported free slots is used without a query
    Given 36 servers with 5 slots of speeds 0.5, 1 and 1.5, and lookups at 0.5 of what they can do
    When 30 daemons in 3 data centres place 3 seconds of lookups by asking
    Then there are fewer than 1.5 queries for each lookup
    And 0.98 of the lookups are answered in time

  # Guards against requests sent by a report that no longer holds.
  Scenario Outline: A server <is> used without a query: <why>
    Given 36 servers with 5 slots of speeds 0.5, 1 and 1.5, and lookups at 0.8 of what they can do
    When a server reported <free> free slots <age> ms ago, and <sent> requests have been sent to it since
    Then it <is> used without a query

    Examples:
      | why                                | free | age | sent | is     |
      | its slots may have been used since | 3    | 50  | 2    | is not |
      | the report is old                  | 5    | 200 | 0    | is not |
      | enough of its slots are free       | 3    | 50  | 1    | is     |

  # Guards against a slow or failing server that is idle because it is avoided.
  Scenario Outline: A server that <what> is not used without a query
    Given 36 servers with 5 slots of speeds 0.5, 1 and 1.5, and lookups at 0.8 of what they can do
    When a server reported 5 free slots 50 ms ago, and it <what>
    Then it is not used without a query

    Examples:
      | what                   |
      | is slower than most    |
      | fails some requests    |
      | is in another data centre |
      | has been tried already |
