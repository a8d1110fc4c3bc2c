Feature: Bytes without end from a backend server cost its caller an answer, and nobody else

  Background:
    Given a daemon beside a server that sends bytes without end

  # Guards against bytes without end that occupy the daemon for as long as a request may take.
  Scenario Outline: "<form>" without end
    When a caller's request is answered with "<form>" without end
    Then the caller has an answer or the end of the connection in time
    And the connection to the server is closed soon after
    And memory, processor and other calls are as bounded as they have to be

    Examples:
      | form                        |
      | garbage                     |
      | status line                 |
      | head                        |
      | interim answers             |
      | answers to others           |
      | body of an answer to others |
      | body                        |
      | chunks                      |
      | small chunks                |
      | chunk header                |
      | trailers                    |
      | bytes after an answer       |
      | answers after an answer     |
      | bytes after a while         |
      | body of a refusal           |
      | body of a failure           |
      | body without a signature    |

  @known_red
  Scenario: A body of a declared length without end
    When a caller's request is answered with "body of a known length" without end
    Then the caller has an answer or the end of the connection in time
    And the connection to the server is closed soon after
    And memory, processor and other calls are as bounded as they have to be

  # Guards against what can't become an answer, but is read until the time of the request is over.
  Scenario Outline: "<form>" without end are given up before the time of the request is over
    When a caller's request is answered with "<form>" without end
    Then the daemon has used less than 0.3 s of the processor

    Examples:
      | form                        |
      | interim answers             |
      | answers to others           |
      | body of an answer to others |

  # Guards against an idle connection whose bytes stay unread until it is used again.
  Scenario: Bytes without end on an idle connection close it at once
    When a caller's request is answered with "bytes after a while" without end, and nobody else asks
    Then the connection to the server is closed soon after

  # Guards against a health check whose answer fills the memory.
  Scenario Outline: A health check that is answered with "<form>" without end
    When a health check of the server is answered with "<form>" without end
    Then the server isn't taken for a healthy one
    And the connection to the server is closed soon after
    And memory, processor and other calls are as bounded as they have to be

    Examples:
      | form            |
      | body            |
      | small chunks    |
      | interim answers |
      | head            |
