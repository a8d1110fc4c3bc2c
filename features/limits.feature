Feature: What a backend server says in its answers binds the whole fleet

  A server in need names the requests a second that it takes from all daemons together, for as long as
  its answers say so. A server that leaves says that, too.

  # Guards against a limit that is passed on to callers and that nobody keeps to.
  Scenario: A server that names a limit gets no more than that from all daemons together
    Given a server that names a limit of 15 a second, beside one of two daemons
    When callers of both daemons ask 60 times a second for 6 seconds
    Then in any 4 seconds the server gets at most 95 requests

  # Guards against new work at a server whose answers say that it leaves.
  Scenario: A server that says in its answers that it leaves gets no new work
    Given a server that says that it leaves, beside one of two daemons
    When callers of both daemons ask 60 times a second for 4 seconds
    Then the server gets nothing later than 2 seconds after its first answer
