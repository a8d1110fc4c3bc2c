Feature: Several backend servers beside one daemon

  The next version of a server may be started alongside the old one on the same VM. They listen at
  addresses of their own, and each is told apart by its id, its start and its version.

  Background:
    Given a daemon beside the server "i-1" of version "v1" with 2 slots

  Scenario: A second server takes nothing from the first
    When the server "i-2" of version "v2" with 3 slots is started alongside
    Then its record tells of "i-1" with version "v1" and 2 slots
    And its record tells of "i-2" with version "v2" and 3 slots
    And others may send calls to either of them

  Scenario: Each runs the calls that are meant for it
    When the server "i-2" of version "v2" with 3 slots is started alongside
    Then a call for "i-1" runs there alone
    And a call for "i-2" runs there alone

  Scenario: A call for a server that isn't here is refused, and has not run
    Then a call for a server that isn't here is refused as not run

  Scenario: A daemon that knows no numbers means the first
    When the server "i-2" of version "v2" with 3 slots is started alongside
    Then a call that names no server runs at "i-1" alone

  # Guards against an infinite wait that was rounded for the wire and ended the link.
  Scenario: A restarted daemon that knows no server yet refuses a call instead of ending the link
    When the daemon restarts and no server has announced itself yet
    Then a call that names no server is refused as not run, with a finite wait

  Scenario: What became of an attempt is asked of the gate that had it
    When the server "i-2" of version "v2" with 3 slots is started alongside
    And a call for "i-2" runs
    Then it may have run by the word for "i-2", and an unknown one never will

  Scenario: One leaves, and the other serves on
    When the server "i-2" of version "v2" with 3 slots is started alongside
    And the server "i-1" says goodbye
    Then its record tells of "i-2" with version "v2" and 3 slots
    And its record does not tell of "i-1"
    And a late heartbeat of "i-1" changes nothing

  Scenario: One drains, and the other takes new work
    When the server "i-2" of version "v2" with 3 slots is started alongside
    And the server "i-1" says that it drains
    Then others may send calls to "i-2" alone

  Scenario: Another server at the address of the first takes its place
    When the server "i-3" of version "v2" with 4 slots is started at the address of "i-1"
    Then its record tells of "i-3" with version "v2" and 4 slots
    And its record does not tell of "i-1"

  Scenario: A server that moves to another address is there alone
    When the server "i-1" is heard at another address
    Then its record tells of one server

  Scenario: Both are taken up again after a restart of the daemon
    When the server "i-2" of version "v2" with 3 slots is started alongside
    And the daemon restarts
    Then its record tells of "i-1" with version "v1" and 2 slots
    And its record tells of "i-2" with version "v2" and 3 slots

  Scenario: More servers than a VM can have are refused
    When 3 more servers are started alongside
    Then one more is refused with a line that names it

  # Guards against a server number that does not fit into a record and ends the daemon's gossip.
  Scenario Outline: A server at an address that can't be one is refused
    When the server "i-2" is heard at "<address>"
    Then it is refused with a line that names "<address>"
    And the record is the same after a datagram and after a row

    Examples:
      | address        |
      | 10.0.0.9:70000 |
      | 10.0.0.999:80  |

  Scenario: The record crosses the network as it is
    When the server "i-2" of version "v2" with 3 slots is started alongside
    Then the record is the same after a datagram and after a row
