Feature: After a restart a daemon serves for the server beside it at once

  The pattern: all daemons of a fleet are killed and back within a second, while their servers live.
  Servers tell of themselves every 1.5 s; a third of all requests of the first second after such a
  restart were turned away, since no server was known.

  Background:
    Given a daemon that has heard of the server "i-1", and a store that keeps its row

  Scenario: The same server, healthy, is taken up before it says anything
    When the daemon starts again
    Then it serves for "i-1"

  Scenario Outline: <case> is not taken up
    Given the server there <does>
    When the daemon starts again
    Then it serves for no one

    Examples:
      | case                          | does                     |
      | Another server at the address | names itself "i-2"       |
      | A server that leaves          | answers 503              |
      | A server that says it leaves  | says that it leaves      |
      | A server that is gone         | is gone                  |
      | A server that says nothing    | never answers            |

  Scenario Outline: A server that <leaves> before the restart is not looked for
    When the server <leaves>
    And the daemon starts again
    Then it serves for no one, and has asked no one

    Examples:
      | leaves   |
      | drains   |
      | departs  |

  Scenario: The store does not answer
    Given the store is away
    When the daemon starts again
    Then it serves for no one

  Scenario Outline: A row with <fault> is no server's
    Given the row there has <fault>
    When the daemon starts again
    Then it serves for no one, and has asked no one

    Examples:
      | fault                    |
      | bytes that can't be read |
      | no slots                 |
      | an address that is none  |
      | a text for the slots     |

  Scenario: A daemon that is alone may leave
    Given a member of a fleet of 1, 1 in its data centre
    When it leaves, and time passes
    Then nothing fails

  Scenario: A server that was taken up may leave without another heartbeat
    When the daemon starts again
    And the server departs
    Then it serves for no one

  Scenario: A late heartbeat of an older run doesn't push out the server that was taken up
    When the daemon starts again
    And a heartbeat of "i-0" comes that was started before
    Then it serves for "i-1"

  # Guards against slots taken for free at a server that the former process has used.
  Scenario: The same server is full at first, as it may work for the former process
    When the daemon starts again
    Then its slots are held for the former process

  # Guards against slots held for a former process that has not used the server.
  Scenario: The next process of the server is free at once
    Given another server at the address says that it is "i-2"
    When the daemon starts again
    And the server is heard as "i-2", started at 3000 ms
    Then no slot is held for the former process

  # Guards against a hold for the own row, written by the present process.
  Scenario: A server that is heard by a daemon without a row is free once the store tells so
    Given the store has lost the row
    When the daemon starts again
    And the server is heard as "i-1", started at 2000 ms
    Then no slot is held for the former process

  # Guards against slots taken for free while the store can't be read.
  Scenario Outline: Without the store, a server started <when> is held: <held>
    Given the store is away
    When the daemon starts again
    And the server is heard as "i-1", started at <started> ms
    Then slots are held for the former process: <held>

    Examples:
      | when                    | started | held |
      | before the daemon       | 2000    | yes  |
      | after the daemon        | 6000    | no   |

  # Guards against a hold that goes on though the store shows that there was no former process.
  Scenario: A hold ends once the store has no row
    Given the store is away
    When the daemon starts again
    And the server is heard as "i-1", started at 2000 ms
    Then its slots are held for the former process
    When the store is back and has no row
    Then no slot is held for the former process

  # Guards against all that callers ask for at a limited server while its daemon learns the limit.
  Scenario: A server that names a limit in its answer to the check is taken up with it
    Given the server there names a limit of 3 a second
    When the daemon starts again
    Then it serves for "i-1"
    And it keeps to 3 a second

  # Guards against a server that leaves and is taken for ready by a heartbeat that says so.
  Scenario Outline: A server whose answers say that it leaves stays out, whatever heartbeats say
    When an answer of the server says that it leaves
    And <happens>
    And a heartbeat says that it is ready
    Then it is draining

    Examples:
      | happens                             |
      | nothing else happens                |
      | its registration expires            |
      | it is heard at another address      |

  Scenario: A server whose answers say that it leaves is not looked for after a restart
    When an answer of the server says that it leaves
    And the daemon starts again
    Then it serves for no one, and has asked no one

  # Guards against a limit of the last process that binds the next.
  Scenario: The next process of a server that named a limit has none
    When an answer of the server names a limit of 3 a second
    And the server is heard as "i-2"
    Then it has no limit from the process before

  # Guards against a new process that drains because the one before it said that it leaves.
  Scenario: The next process of a server that said that it leaves is ready
    When an answer of the server says that it leaves
    And the server is heard as "i-2"
    Then it serves for "i-2"

  Scenario Outline: A server's change is told to all of a small fleet, or to its data centre first
    Given a member of a fleet of <size>, <near> in its data centre
    When the server beside it changes
    Then between <least> and <most> members are told at once

    Examples:
      | size | near | least | most |
      | 13   | 3    | 12    | 12   |
      | 76   | 19   | 18    | 22   |
      | 950  | 105  | 104   | 108  |
