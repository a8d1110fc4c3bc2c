Feature: As many large answers begin as the link can send in time

  The load: five VMs with links of 6.5 Mbit/s are asked for 75 downloads per second of 90 KB on
  average and 540 KB at most, with an objective of 1081 ms and a deadline of 6498 ms. At most three
  fifths can be sent. The same servers answer small reads with an objective of 244 ms. Callers that
  are refused return up to twice, if they are told to wait at most a third of the time left.

  # Guards against a link that is filled with accepted answers, of which the larger ones never end.
  Scenario: Of more downloads than the link can send, those that begin are in time
    When one of these VMs is asked in 4 plays of 60 seconds, by pending bytes and by all accepted ones
    Then at most 0.02 of the downloads that begin don't end before their deadline
    And at least 0.85 of the downloads that begin are in time
    And at least 0.8 of the bytes that the link can send are those of downloads in time
    And callers get no less than with pending bytes alone, where a late answer counts half

  # Guards against small answers that wait for large ones.
  Scenario: Small reads are not delayed by downloads
    When one of these VMs is asked in 4 plays of 60 seconds, by pending bytes and by all accepted ones
    Then at least 0.99 of the small reads are in time

  # Guards against answers that are admitted before the bytes of earlier ones are pending.
  Scenario: Answers that the server has not given yet count
    Given a link of 6.5 Mbit/s that is promised 7 answers of 90 KB
    Then another one is refused, and told to return in 0.5 to 0.9 seconds

  # Guards against a change for routes whose deadline is near their objective.
  Scenario: Where the deadline is 2.4 times the objective, the link refuses nothing
    Given a link of 6.5 Mbit/s that is promised 7 answers of 90 KB
    Then one with an objective of 250 ms and a deadline of 600 ms may begin

  # Guards against the refusal of all answers that are too large for their objective.
  Scenario: An answer that can only be late begins on an idle link
    Given a link of 6.5 Mbit/s that is promised 0 answers of 90 KB
    Then one with an objective of 100 ms and a deadline of 600 ms may begin
