Feature: Late answers use the slots that timely ones leave idle

  The load: demand in waves of 55% over 15 s with clumps of arrivals, more than the slots at the crest
  and less in the trough. Callers wait 4 to 12 s, a try ends after 2 to 6 s, and a late answer is
  worth half a timely one.

  # Guards against refusals of requests whose callers still wait, while slots become idle soon.
  Scenario: A request that can only be late waits where it is expected to end well before its deadline
    Given a server whose 7 slots hold work of 150 ms
    When a late request of 150 ms with an objective of 700 ms and a deadline of 2000 ms arrives
    Then it waits as a late one

  # Guards against a late answer that takes the slot of a timely one.
  Scenario: A late request starts after all that can be in time
    Given a server whose 7 slots hold work of 150 ms
    When a late request of 150 ms with an objective of 700 ms and a deadline of 2000 ms arrives
    And a timely request of 150 ms with an objective of 700 ms and a deadline of 2000 ms arrives
    And 2 slots become free one after another
    Then the timely request starts first, and then the late one

  # Guards against requests that are held at the crest and then dropped.
  Scenario: A late request is refused at once where timely ones use all slots
    Given a server whose 7 slots hold work of 150 ms
    And timely requests have used all slots in the last seconds
    When a late request of 150 ms with an objective of 700 ms and a deadline of 2000 ms arrives
    Then it is refused at once, and told when to return

  # Guards against a wait at the first server while another one could still answer in time.
  Scenario: A request that may be in time elsewhere is refused at once
    Given a server whose 7 slots hold work of 150 ms
    When a late request with other servers to try arrives
    Then it is refused at once, and told when to return

  # Guards against a gate that never learns that a call accepts to be late.
  Scenario: Calls and queries tell the gate that they accept to be late
    Then a call and a query that accept it are the same once sent, with an organisation and without
    And they take no more bytes than others

  # Guards against a change for deployments whose deadlines are near their objectives.
  Scenario: Where the deadline is 2.5 times the objective, no late request waits
    Given a server whose 7 slots hold work of 150 ms
    When a late request of 150 ms with an objective of 700 ms and a deadline of 1740 ms arrives
    Then it is refused at once, and told when to return

  # Guards against late work that displaces timely work, and against waits that end in a refusal.
  Scenario: In waves, callers get more with late answers than without
    When 3 plays of 30 seconds of such a load run with late answers and without
    Then the value of the answers is at least 0.005 higher with late answers
    And the answers in time are at most 0.01 fewer
    And at most 0.2 of the requests that waited as late ones were refused afterwards
