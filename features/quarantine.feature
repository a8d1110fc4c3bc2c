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

  @known_red
  Scenario: It reaches no server once three have ended under it and all daemons could know
    Given a daemon beside each of 4 servers that fall under one body
    When that body is sent for 5 s, every 50 ms, and another body on its path beside it
    Then at most 3 of its requests run later than 3 s after the third server has fallen
    And its callers are told truly that it did not run, and when to come back
    And after the last fall each of the others is answered
