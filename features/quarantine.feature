Feature: A request under which servers end is not sent to any others

  Seen: a service of four servers lost them all, again and again for 16 s. One request, the same in
  target, caller and body but under a new id each time, had ended three servers and was sent to six
  and seven more, fourteen of them ended in all; the requests that ran beside it were lost with them.
  How it came about: a server ended under it, its caller's daemon sent it on to another one, as the
  route allows, and its client sent it again, to any daemon; each server was back some seconds later.
  Cause: what ended was held against the server alone. Nothing that outlived one call knew the
  request again, so no daemon could see that every server which began to run it ended.
  Proof: sent every 50 ms to daemons by turns, it reaches servers as long as it is sent; nothing else
  ends them, for with other bodies on the same path they are all answered.

  Scenario: It reaches no server once three have ended under it and all daemons could know
    Given a daemon beside each of 4 servers that fall under one body
    When that body is sent for 5 s, every 50 ms, and another body on its path beside it
    Then at most 3 of its requests run later than 3 s after the third server has fallen
    And its callers are told truly that it did not run, and when to come back
    And after the last fall each of the others is answered

  Scenario: A request that all ask for is served while servers fall for other reasons
    Given a daemon beside each of 4 servers that fall under one body
    When all servers are ended 4 times by other causes while another body is sent every 5 ms
    Then nothing is in quarantine
    And after the last fall each of the others is answered

  Scenario: What ran beside the cause is not blamed
    Given what a daemon knows of ends
    When servers 1, 2 and 3 end under "cause" beside others of their own
    Then "cause" is in quarantine, and no other is

  Scenario: Where two ran at the same ends neither is blamed until one runs apart
    Given what a daemon knows of ends
    When servers 1, 2 and 3 end under "cause" and "beside"
    Then nothing is refused, and "beside" must run apart
    When server 4 ends under "cause" alone
    Then "cause" is in quarantine, and no other is

  Scenario: An answer tells the one that ran beside from the cause
    Given what a daemon knows of ends
    When servers 1, 2 and 3 end under "cause" and "beside"
    And "beside" is answered
    Then "cause" is in quarantine, and no other is
    And "beside" must not run apart

  Scenario: Two ends are not enough
    Given what a daemon knows of ends
    When servers 1 and 2 end under "cause"
    Then nothing is refused, and "cause" must run apart

  Scenario: What the servers have answered is not blamed though all of them end under it at once
    Given what a daemon knows of ends
    And its own server has answered "asked by all"
    When servers 1, 2 and 3 end under "asked by all"
    Then nothing is refused, and "asked by all" must not run apart
    And its record tells the others that "asked by all" was answered

  Scenario: A quarantine ends, is doubled by one more end, and ends for good by an answer
    Given what a daemon knows of ends
    When servers 1, 2 and 3 end under "cause"
    Then "cause" is refused for 300 s
    When 301 s have passed
    Then nothing is refused, and "cause" must run apart
    When server 4 ends under "cause" alone
    Then "cause" is refused for 600 s
    When 601 s have passed
    And "cause" is answered
    Then nothing is refused, and "cause" must not run apart

  Scenario: A request that was tried again and ended nothing is forgotten
    Given what a daemon knows of ends
    When servers 1, 2 and 3 end under "cause"
    And 301 s have passed
    And 301 s have passed
    Then nothing at all is known

  Scenario: A finding heard twice counts once
    Given what a daemon knows of ends
    When server 1 tells 3 times of one end under "cause"
    Then nothing is refused, and "cause" must not run apart

  Scenario: What is remembered is bounded, whatever ends
    Given what a daemon knows of ends
    When 3000 servers end 3 times, each under 16 requests of its own
    Then at most 256 ends, 64 quarantines and 12 findings are held
    When 4000 s have passed
    Then nothing at all is known

  Scenario: A daemon that joins later refuses at once
    Given what a daemon knows of ends
    When its own server and servers 1 and 2 end under "cause"
    And another daemon hears only its record
    Then that daemon refuses "cause"

  Scenario: The quarantine outlasts all daemons by the row of one that told of it
    Given what a daemon knows of ends
    When its own server and servers 1 and 2 end under "cause"
    And its row is written, and every daemon starts anew
    Then the daemon of that row refuses "cause", and tells so in its record again

  Scenario: A record with findings is carried whole, and one with too many is none
    Then a record with 12 findings of 16 requests comes out of a message as it went in
    And a record with 13 findings is refused

  Scenario: A request is known again by its target, its caller and its body
    Then two calls that differ only in id and time left have one fingerprint
    And calls that differ in path, body, host or who asks have others

  Scenario Outline: A server that ends is told by what ran there, however its connections end
    Given a gate beside a server that ends under the second of two requests, by <how>
    When both are sent
    Then one end is told, with both of them

    Examples:
      | how            |
      | closing        |
      | resetting      |

  Scenario: A server that breaks off a connection but lives has not ended
    Given a gate beside a server that closes each connection at once
    When 3 lookups come one after the other
    Then no end is told

  Scenario: A refusal for a reason that only a newer daemon knows keeps its verdict
    When a refusal for the reason "of tomorrow" comes that says that nothing ran
    Then it is a refusal of the server, and nothing ran

  Scenario: What ran beside the cause is not blamed when the quarantine is over
    Given what a daemon knows of ends
    When servers 1, 2 and 3 end under "cause" and "beside"
    And server 4 ends under "cause" alone
    Then "cause" is in quarantine, and no other is
    When 301 s have passed
    And server 4 ends under "another" alone
    Then nothing is refused, and "cause" must run apart
    And "beside" must not run apart

  Scenario: What one daemon blames and another has answered is refused nowhere
    Given what a daemon knows of ends
    And its own server has answered "beside"
    When server 1 tells that "beside" was answered
    And server 1 tells that "beside" is in quarantine
    Then nothing is refused, and "beside" must not run apart
    And its record tells the others that "beside" was answered

  Scenario: What was lost with the server is named before what was given up on
    Given a watch over a server that is gone
    When 40 requests are given up on, and then one is lost
    Then the one that was lost is named first
