Feature: Pipelined requests of a caller's connection run side by side and are answered in order

  Background:
    Given daemons A and B that serve pipelined requests, a server of 20 slots beside B

  # Guards against pipelined requests that run one after another, 8 of 200 ms in 1.6 s.
  Scenario: Requests on one connection run concurrently, at most 8 at a time
    When a caller of A pipelines 8 requests of 200 ms
    Then all are answered in their order within 0.8 s
    When a caller of A pipelines 20 requests of 100 ms
    Then all are answered in their order within 1.4 s
    And at most 8 and at least 7 ran at once

  # Guards against answers in the order in which they are ready.
  Scenario: Answers come in the order of the requests
    When a caller of A pipelines requests of 300, 0, 150, 0, 50 and 0 ms
    Then all are answered in their order within 0.6 s

  # Guards against a slow request that holds up the work of those behind it.
  Scenario: A slow first request delays the answers of the others and not their work
    When a caller of A pipelines requests of 700, 50, 50, 50, 50, 50, 50 and 50 ms
    Then all are answered in their order within 1.1 s
    And all but the first had ended at the server after 0.4 s

  # Guards against a request that may run only once beside others, where an earlier answer that closes
  # the connection would leave its caller without a verdict.
  Scenario: A request that is not idempotent runs alone
    When a caller of A pipelines reads "r1 r2", the booking "b1", reads "r3 r4", the booking "b2" and "b3"
    Then all are answered in their order within 2.0 s
    And "r1 r2" ran side by side, and "r3 r4" too
    And the server ran "r1 r2", then "b1", then "r3 r4", then "b2", then "b3", each once

  # Guards against a request whose body is still being received beside others.
  Scenario: A request whose body is incomplete starts when those before it are answered
    When a caller of A pipelines a read of 200 ms, half of a search in chunks, the rest after 400 ms, and a read
    Then all are answered in their order within 1.2 s
    And the server got the whole body of the search, and ran one after another

  # Guards against a body that is larger than what is buffered for replays, behind another request.
  Scenario: A large body behind a read is passed on
    When a caller of A pipelines a read of 200 ms, a search with a body of 3 MB, and a read
    Then all are answered in their order within 5.0 s
    And the server got the whole body of the search, and ran one after another

  # Guards against work for requests whose answers can't be sent any more.
  Scenario Outline: Requests behind a response that closes the connection don't run
    When a caller of A pipelines reads of 100 ms, the second with "<closing>", and 4 more of 5 s
    Then 2 are answered, the second with <status>, and the connection is closed
    And the server finishes none of those behind within 0.5 s

    Examples:
      | closing                    | status |
      | connection: close          | 200    |
      | HTTP/1.0                   | 200    |
      | a deadline that is no time | 400    |

  # Guards against servers that work on for a caller that is gone.
  Scenario Outline: The requests of a caller that is gone are cancelled
    When a caller of A pipelines 12 reads of 5 s, <then> and <leaves>
    Then 8 of them are cancelled at the server within 0.5 s, and the others never start

    Examples:
      | then                                  | leaves                     |
      | waits 0.3 s                           | closes the connection      |
      | waits 0.3 s                           | resets the connection      |
      | waits 0.3 s                           | closes its end for writing |
      | sends 400 KB of further reads         | closes the connection      |

  # Guards against requests that are cancelled only as long as the first of the connection is unanswered.
  Scenario: The requests of a caller that leaves after its first answer are cancelled
    When a caller of A pipelines a read and 7 of 5 s, and closes the connection after the first answer
    Then 7 of them are cancelled at the server within 0.5 s, and the others never start

  # Guards against a deadline that fails the others, or that is counted from the start.
  Scenario: Each request keeps its own deadline, from its arrival
    When a caller of A pipelines reads of 300, 2000 and 100 ms, the second with 400 ms left
    Then the statuses are "200 504 200", in order
    When a caller of A pipelines a booking of 400 ms, a read with 200 ms left, and a read
    Then the statuses are "200 503 200", in order
    And the second is told "not_run" because of "deadline"

  # Guards against ready answers that are thrown away because an earlier one is late.
  Scenario: A ready answer that waits for earlier ones is delivered late
    When a caller of A pipelines reads of 800, 50 and 50 ms, the second with 400 ms left
    Then the statuses are "200 200 200", in order

  # Guards against a refusal that overtakes answers, or that closes the connection.
  Scenario: A refusal in the middle keeps its place
    When a caller of A pipelines a read of 200 ms, one that no server can run, and a read
    Then the statuses are "200 503 200", in order
    And the second is told "not_run" because of "no_backend"

  # Guards against the next answer's bytes taken for the rest of one that was cut off.
  Scenario: An answer that ends in the middle is the last one
    When a caller of A pipelines a read, one of 64 MB whose server crashes midway, and a read
    Then only the first is answered whole, and the connection is closed

  # Guards against a caller that waits for leave to send a body, behind requests that wait for nothing.
  Scenario: A pipelined request that expects 100 Continue gets it in its turn
    When a caller of A pipelines a read of 200 ms and a booking that expects 100 Continue
    Then the read is answered, then leave is given, then the booking is answered

  # Guards against good requests that are lost with a malformed one behind them.
  Scenario: A malformed request is refused after the answers to those before it
    When a caller of A pipelines 3 reads of 200 ms, bytes that are no request, and a read
    Then the statuses are "200 200 200 400", and the connection is closed

  # Guards against requests that had begun and are cut off, or begin, as their daemon stops.
  Scenario: A daemon that stops answers the requests that have begun and closes the connection
    When a caller of A pipelines 12 reads of 400 ms, and A is told to stop after 0.2 s
    Then 8 are answered in their order, and the connection is closed
    And the server ran 8 requests, and A ended without cutting off any

  # Guards against answers that pile up in memory behind a slow one or a caller that does not read.
  Scenario: Large answers behind a slow one stay within a memory bound
    When a caller of A pipelines a read of 1000 ms and 7 of 4 MB
    Then at most 4 MB of answers were held by A until the first was answered
    And all 8 arrive whole
    When a caller of A pipelines 8 reads of 4 MB and reads nothing for 1 second
    Then at most 4 MB of answers were held by A meanwhile
    And all 8 arrive whole
    When a caller of A pipelines a small read and 7 of 16 MB, and reads nothing for 1 second
    Then at most 4 MB of answers were held by A meanwhile
    And all 8 arrive whole

  # Guards against answers that depend on how the caller's bytes are split.
  Scenario: The same bytes get the same answers at all split points
    When the bytes of 6 requests reach A in two parts, split at each point
    Then each time the statuses are "200 200 404 200 503 400" in order
    When these bytes reach A one by one
    Then each time the statuses are "200 200 404 200 503 400" in order

  # Guards against a connection that stays in the state of its pipelined requests.
  Scenario: A connection takes single requests again after pipelined ones
    When a caller of A sends 3 reads at once, then one, then 9 at once, then one, each after the answers
    Then all are answered in their order within 2.0 s
    And A has no pipeline, and no task, for the connection beside its usual one

  # Guards against a further cost of requests that are not pipelined.
  Scenario: A connection that never pipelines has no pipeline
    When a caller of A sends 5 requests one after another
    Then no pipeline was created
    And each was handled by the task of the connection

  # Guards against a long elapsed time that an operator can't explain.
  Scenario: The log tells how many requests were ahead
    When a caller of A pipelines 3 reads and their log lines are collected
    Then the "call ended" lines tell "none, 1 and 2" requests ahead

  Scenario Outline: What may start is decided from the unanswered requests
    # i: idempotent and whole, p: idempotent with an incomplete body, n: not idempotent; capital: started
    Given the unanswered requests "<requests>"
    Then <count> more may start

    Examples:
      | requests   | count |
      | i          | 1     |
      | n          | 1     |
      | p          | 1     |
      | Iii        | 2     |
      | Ini        | 0     |
      | IIiini     | 2     |
      | Nii        | 0     |
      | Pii        | 0     |
      | Ip         | 0     |
      | nii        | 1     |
      | iin        | 2     |
      | IIIIIIIiii | 1     |
      | IIIIIIIIii | 0     |
      | iiiiiiiiii | 8     |

  # Guards against orders of events that the table above misses.
  Scenario: Any order of arrivals and ends keeps the rules
    Then in random sequences of arrivals, received bodies and ends, the rules hold
