Feature: Daemons meter quotas together

  Four daemons on loopback, in two data centres, with a server of the service beside the first two.

  # Guards against a quota per daemon in place of one for the fleet, and against refusals that wait,
  # are not true, or send all callers back at once.
  Scenario: An organisation over its quota gets its quota from all daemons together
    Given four daemons and the organisations "small" with 20 requests/s and "free" without a limit
    When callers of "small" send 100 requests/s to all daemons for 10 s
    Then in any 5 s at most 152 requests of "small" reached the servers
    And at least 95 of them did in the last 5 s
    And the others were refused with 429, not run, in 0.2 s, with different delays
    And requests of "free" are answered
    And "small" has its use, quota, owner, mode and last refusals in the status
    And the refusals are counted and logged at most three times per daemon

  # Guards against messages and loaded modules where nothing is limited.
  Scenario: Without limits no message on quotas is sent and nothing is loaded
    Given four daemons and the organisations "small" without a limit and "free" without a limit
    When callers of "small" send 100 requests/s to all daemons for 1 s
    Then all of them were answered
    And no daemon has sent a message on quotas or meters one

  # Guards against requests that reach a server a second time without a token.
  Scenario: A request that is sent to a server again takes a second token
    Given four daemons and the organisations "small" with 20 requests/s and "free" without a limit
    And the servers end the connection in place of an answer
    When one request of "small" is sent
    Then as many tokens of "small" are used as servers were reached

  # Guards against a fleet that goes on without a limit, or stops, when an owner is lost.
  Scenario: The owner crashes
    Given four daemons and the organisations "small" with 20 requests/s and "free" without a limit
    When callers of "small" send 100 requests/s to all daemons for 4 s
    And the owner of "small" crashes
    And callers of "small" send 100 requests/s to the other daemons for 16 s
    Then in any 5 s at most 152 requests of "small" reached the servers
    And at least 57 of them did in the last 3 s

  # Guards against a report timer that fails on the event loop of deployed daemons: all requests of
  # organisations with quotas ended with a closed connection, or were refused.
  Scenario: Four daemons on the event loop of deployments serve what is within the quota
    Given daemons run on uvloop
    And four daemons and the organisations "small" with 20 requests/s and "free" without a limit
    When callers of "small" send 15 requests/s to all daemons for 10 s
    Then at least 95 in 100 of them were answered in the last 5 s
    And a daemon whose next report is due already goes on
