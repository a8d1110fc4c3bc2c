Feature: Organisations have keys, and each request belongs to the organisation of its key

  The pattern: on a deployment with organisations, keys were forwarded to the servers, unknown keys
  were served, and a revoked key went on working on connections that were already open.

  # Guards against requests without a valid key that reach a server or are retried by their callers.
  Scenario Outline: A request without a valid key is refused at once
    Given daemons A and B with organisations, the roster server beside B
    When a caller identifies itself with <keys>
    Then it gets the status 401, the reason "unauthenticated" and the verdict "not_run"
    And the answer names a scheme, but no time to retry after
    And no request has reached a server
    And neither the answer nor a log line has a key

    Examples:
      | keys                        |
      | no key                      |
      | an empty key                |
      | an unknown key              |
      | a valid key twice           |
      | a valid and another key     |
      | two keys in one header      |
      | a valid key in capitals     |

  # Guards against an error of the HTTP parser that quotes the line with the key.
  Scenario: A key in a header that is not valid HTTP is not shown
    Given daemons A and B with organisations, the roster server beside B
    When a caller sends its key in a header line with a space before the colon
    Then it is told that the request is not valid
    And neither the answer nor a log line has a key

  # Guards against the key reaching a server, and against a caller that claims another organisation.
  Scenario: The server gets the name of the organisation and not the key
    Given daemons A and B with organisations, the roster server beside B
    When a caller of "Club QRZ" sends a request that claims to be "north"
    Then it gets the status 200
    And the server has got the organisation "Club QRZ" once, and no key
    And the log line of the call names "Club QRZ"
    And neither the answer nor a log line has a key

  Scenario: On a public route both headers are removed
    Given daemons A and B with organisations, the roster server beside B
    When a caller sends a request to a public route that claims to be "north"
    Then it gets the status 200
    And the server has got no organisation and no key

  # Guards against an error that lets a request through or ends a caller's connection.
  Scenario: An error in the identification refuses the request
    Given daemons A and B with organisations, the roster server beside B
    When the identification at A fails and a caller sends a request
    Then it gets the status 503, the reason "not_ready" and the verdict "not_run"
    And no request has reached a server
    And neither the answer nor a log line has a key

  Scenario: An error in the identification at the server refuses the request
    Given daemons A and B with organisations, the roster server beside B
    When the identification at B fails and a caller sends a request
    Then it gets the status 503, the reason "not_ready" and the verdict "not_run"
    And no request has reached a server

  # Guards against a check that is made only once for a connection.
  Scenario: A revoked key is refused on a connection that stays open
    Given daemons A and B with organisations, the roster server beside B
    When a caller of "north" sends requests on one connection while its key is revoked
    Then they are answered before, and get the status 401 within 5 s after it
    And no log line has a key

  # Guards against requests that reach a server because they were queued before the revocation.
  Scenario: A key is revoked while a request waits in a server's queue
    Given daemons A and B with organisations, the roster server beside B with one slot
    When a request of "north" waits behind one of "Club QRZ" and the key of "north" is revoked
    Then the waiting one gets the status 401 while the other one still runs
    And the server has run one request

  # Guards against a slot that goes to such a request before the queue is checked.
  Scenario: A key is revoked just before the slot becomes free
    Given daemons A and B with organisations, the roster server beside B with one slot
    When a request of "north" waits and its key is revoked just before the slot becomes free
    Then the waiting one gets the status 401
    And the server has run one request

  # Guards against a retry by the identity of the first attempt.
  Scenario: A key is revoked before a retry
    Given daemons A, B and C with organisations, roster servers beside B and C
    When the key of "north" is revoked, then the server that runs its request ends
    Then the caller is told that the request may have run, for the reason "unauthenticated"
    And the other server has run no request

  Scenario: A request that waits when its key moves reaches the server under the new organisation
    Given daemons A and B with organisations, the roster server beside B with one slot
    When a request of "north" waits behind one of "Club QRZ" and its key moves to "south"
    Then both get the status 200
    And the server has got the organisation "south" for the one that waited

  # Guards against a key that belongs to none or to two organisations for a time.
  Scenario: A key that moves belongs to one organisation at each version
    Given a snapshot in which "north" has 3 keys and "south" has 2
    When each key of "north" moves to "south" in a version of its own
    Then at each version each of the 5 keys has the organisation that the version gives it

  # Guards against an incremental snapshot that differs from one built from nothing.
  Scenario Outline: Snapshots built from earlier ones have the same organisations
    When 200 random versions of 12 organisations follow one another with seed <seed>
    Then each snapshot has the organisations of one that is built from nothing
    And a version without a change of them has the same mapping as the one before

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against work in proportion to all keys when one of many organisations changes.
  Scenario: A change of one organisation does not build the others again
    Given a snapshot of 500 organisations with 40 keys each
    When one organisation gets another key
    Then the snapshot has the same objects for the other 499

  # Guards against a change for deployments without organisations.
  Scenario: A catalogue without organisations changes neither headers nor frames
    Given daemons A and B without organisations, the roster server beside B
    When a caller sends a request with a key and the name of an organisation
    Then it gets the status 200
    And the server has got both headers as they were sent
    And calls and outlook requests without an organisation are encoded as before organisations

  Scenario: Without a version in force the answer is 503 as before
    Given a daemon without a version
    When a caller sends it a request without a key
    Then it gets the status 503, the reason "not_ready" and the verdict "not_run"

  Scenario: Organisations that come with a version apply to a request that already waits
    Given a call that was identified by a catalogue without organisations
    When it is identified again by one with organisations
    Then with the key of "north" it belongs to "north", and its key is no longer among the headers
    And without a key it is refused as unauthenticated

  # Guards against a catalogue that is put in force in part, and against keys in its errors.
  Scenario Outline: A bad organisation refuses the whole version
    Given a snapshot in which "north" has 3 keys and "south" has 2
    When a version has <fault>
    Then it is refused for "<field>" with the value "<value>"
    And the snapshot before it stays in force whole
    And no problem has a key or a whole digest

    Examples:
      | fault                             | field                                | value    |
      | a key of "north" under "south"    | organisation/south.key_digests[2]    | 86e0d34b |
      | an empty key                      | organisation/south.key_digests[2]    | e3b0c442 |
      | a negative rate                   | organisation/south.rate_per_second   | -1       |
      | a negative burst                  | organisation/south.burst             | -2       |
      | a rate that is no number          | organisation/south.rate_per_second   | nan      |
      | a key in place of a digest        | organisation/south.key_digests       | (hidden) |
      | a name with a line break          | organisation/a\nb.name               | a\nb     |
      | a route that is public in words   | route/rosters.public                 | yes      |

  Scenario Outline: Names of organisations are accepted as other systems allow them
    When an organisation has the name "<name>"
    Then the catalogue is valid and the server would get that name

    Examples:
      | name                |
      | a                   |
      | Club QRZ            |
      | north_of.the-Border |
      | OK1/ABC             |
      | Žižkov č. 7         |
      | 90210               |

  # Guards against keys in files, errors and the output of commands.
  Scenario: A catalogue file has keys, and what is read from it has digests
    When a catalogue file with keys is parsed
    Then its organisations have digests, which validation accepts
    And the catalogue shown as a file has 8 digits of each digest
    And the shown file, parsed again, changes nothing
    And a shown digest that the organisation does not have is a problem
    And a diff shows 8 digits of each digest

  Scenario Outline: A mistake in a file does not show a key
    When the catalogue file with <mistake> is parsed
    Then there is a problem, and none has the key

    Examples:
      | mistake                         |
      | a key that is no list           |
      | a key that is a number          |
      | a key in a misspelt field       |
      | a key in a misspelt section     |
      | organisations that are no list  |
      | an empty key                    |
      | a key with a space at its end   |
      | a quote that is not closed      |

  Scenario: The adapter of the mesh platform decodes tenants and public routes
    When a version with tenants is decoded
    Then it has the organisations and the public route, and nothing more
    And a version without tenants has none
    And a tenant that occurs twice, or a key that is a number, is refused without a key

  # Guards against a request that is urgent at one place and not at another.
  Scenario Outline: The rank puts the organisation's priority before the route's
    Then an organisation of priority <organisation> on a route of priority <route> has rank <rank>

    Examples:
      | organisation | route | rank  |
      | none         | 0     | 0     |
      | none         | 300   | 300   |
      | 0            | 2     | 2     |
      | 1            | 0     | 256   |
      | 1            | 2     | 258   |
      | 2            | 0     | 512   |
      | 10000        | 10000 | 65535 |

  Scenario: Frames and admission have the organisation and the rank
    Given daemons A and B with organisations, the roster server beside B with one slot
    When a request of "south" waits behind one of "Club QRZ"
    Then the waiting request has the organisation "south" and the rank 258 at admission
    And a query for an outlook of "south" arrives with the organisation "south" and the rank 258

  # Guards against a quarantine of one caller's request that refuses another caller's.
  Scenario: Fingerprints tell callers apart without their keys
    Then equal requests with two keys have two fingerprints, and with one key have one
    And without organisations a fingerprint is as it was before them

  # Guards against a server's daemon that is behind and refuses what a newer version allows.
  Scenario: A daemon with an older version does not refuse a key that it does not know
    Given a snapshot in which "north" has 3 keys and "south" has 2
    Then a key identified by a newer version is not refused at the server
    And an unknown key identified by the same or an older version is refused there

  Scenario: Counts, latency and last refusals of organisations are bounded
    When 1,200 organisations send requests of which some are refused
    Then there are latencies for 20 of them and for the others together
    And counters are kept for at most 1,000 of them, with 5 refusals each

  Scenario: The command and the metrics show organisations
    Given daemons A and B with organisations, the roster server beside B
    When a caller of "south" has 2 requests answered and one without a key is refused
    Then the command shows for "south" 2 requests, its rate and 8 digits of its key
    And it shows the last refusal without a key
    And the metrics count 2 requests of "south"
    And explaining a request of "south" shows its rank
    And neither the answer nor a log line has a key
