Feature: A rate limit lets through what the server takes, the urgent first

  # Guards against a server that leaves and is taken for ready as it announces itself again.
  Scenario: A server that has said that it leaves drains, also once its announcement has expired
    Given a gate beside a server that has said that it leaves
    When its announcement expires, and it announces itself as ready
    Then the gate drains

  # Guards against texts that are no number, which end a daemon's work or lift a limit.
  Scenario Outline: A limit is read from <text>
    Given a server whose answers name 20 a second
    When an answer names <text>
    Then its limit is <limit>

    Examples:
      | text                                  | limit |
      | "23.2"                                | 23.2  |
      | "0"                                   | 0     |
      | "1e-05"                               | 1e-05 |
      | "-5"                                  | 20    |
      | "nan"                                 | 20    |
      | "inf"                                 | 20    |
      | ""                                    | 20    |
      | "many"                                | 20    |
      | "0x10"                                | 20    |
      | "١٥"                                  | 20    |
      | 5,000 digits                          | 20    |
      | "30" and "4"                          | 4     |
      | "nan" and "4"                         | 4     |
      | "30, 4"                               | 4     |

  Scenario Outline: Whether a server leaves is read from <text>
    Given a server whose answers name 20 a second
    When an answer says <text> on whether it leaves
    Then the server <does>

    Examples:
      | text       | does   |
      | "1"        | leaves |
      | "0"        | stays  |
      | "yes"      | stays  |
      | "0" and "1" | leaves |

  # Guards against a limit that is lifted by an answer which has been overtaken.
  Scenario: A limit ends by an answer to a request that was sent after the last one that named it
    Given a server whose answers name 20 a second
    When an answer names none, to a request from before the last that did
    Then its limit is 20
    When an answer names none, to a request from after the last that did
    Then it has no limit

  # Guards against a limit that is lifted by an answer that is not the server's own.
  Scenario Outline: An answer that is <what> doesn't end a limit
    Given a server whose answers name 20 a second
    When an answer names none, and is <what>
    Then its limit is 20

    Examples:
      | what                       |
      | a refusal                  |
      | without a signature        |

  Scenario Outline: A server gets no more than it takes, and most of that
    Given a server whose answers name <limit> a second
    When requests arrive <rate> times a second for 20 seconds
    Then between <least> and <most> are started

    Examples:
      | limit | rate | least | most |
      | 20    | 60   | 340   | 410  |
      | 20    | 25   | 340   | 410  |
      | 100   | 300  | 1700  | 2050 |
      | 1     | 60   | 17    | 22   |
      | 0.01  | 60   | 4     | 12   |
      | 0     | 60   | 4     | 12   |
      | 20    | 10   | 200   | 200  |

  # Guards against a limit that falls while tokens of the former one are left.
  Scenario: A limit that falls to nearly nothing holds at once
    Given a server whose answers name 100 a second
    When it is idle for 5 seconds, and its limit falls to 0.01
    And requests arrive 60 times a second for 4 seconds
    Then between 1 and 5 are started

  Scenario: A limit that rises holds at once
    Given a server whose answers name 1 a second
    When requests arrive 60 times a second for 5 seconds
    And its limit rises to 50
    And requests arrive 100 times a second for 4 seconds
    Then between 170 and 225 are started

  # Guards against urgent requests refused while others take what the server can.
  Scenario: The urgent go first
    Given a server whose answers name 20 a second
    When urgent requests arrive 15 times a second and others 60 times a second for 20 seconds
    Then 0.98 of the urgent ones are started
    And between 340 and 410 are started

  # Guards against requests let in under no limit that are sent once the server has named one.
  Scenario: What waits when a limit is named is refused at once but for what it takes
    Given a server without a limit, with 2 slots, at which 2 requests run and 6 wait
    When it names a limit of 1 a second
    Then 5 of those that wait are refused, and the most urgent one still waits

  # Guards against callers that are all told to come back at the same time, or too early.
  Scenario Outline: Who is refused and comes back when told finds room
    Given a server whose answers name 10 a second
    When 12 requests arrive at once, <urgent> of them urgent, and those that are refused come back when told
    Then all 12 are started within 1.3 seconds
    And all <sure> are started at the first or second try

    Examples:
      | urgent | sure         |
      | 0      | of them      |
      | 12     | of them      |
      | 6      | urgent ones  |

  # Guards against an infinite or negative limit of a peer in the arithmetic of tokens.
  Scenario Outline: What is heard crosses the network as it is, unless it is no limit
    Then a limit of <limit> that was heard <arrives>

    Examples:
      | limit | arrives       |
      | 23.2  | arrives       |
      | 0     | arrives       |
      | none  | arrives       |
      | nan   | is no frame   |
      | inf   | is no frame   |
      | -1    | is no frame   |

  # Guards against the word on a former run of a server that binds the present one.
  Scenario Outline: What others have heard holds for the run it is about, until that has answered
    Given a server that has <answered>
    When another daemon has heard a limit of 3 from <run>
    Then <limit>

    Examples:
      | answered          | run          | limit           |
      | not answered yet  | this run     | its limit is 3  |
      | not answered yet  | another run  | it has no limit |
      | not answered yet  | a nameless one | it has no limit |
      | answered          | this run     | it has no limit |

  # Guards against a limit that has ended long ago and comes back with each call of others.
  Scenario: What others have heard ends with the first answer that doesn't say so
    Given a server that has not answered yet
    When another daemon has heard a limit of 3 from this run
    And a request is sent, and another daemon tells again of a limit of 3
    And an answer to that request names none
    Then it has no limit
