Feature: Latency histograms are exact to two digits and small

  Scenario: Percentiles are those of the library that was used before
    # Guards against figures of operators that change with the way they are stored.
    When 200 sets of random latencies are recorded in both
    Then all counts, percentiles and maxima are the same

  Scenario Outline: A value is reported within one part in 128 above it
    # Guards against a bucket that is too wide, or a value that is reported too low.
    When <value> microseconds are recorded
    Then the median is at least <value> and at most one part in 128 above it

    Examples:
      | value      |
      | 0          |
      | 1          |
      | 255        |
      | 256        |
      | 257        |
      | 99999      |
      | 3600000000 |
      | 9999999999 |

  Scenario: An empty histogram
    # Guards against an error while nothing has been recorded.
    When nothing is recorded
    Then its percentiles and its maximum are 0

  Scenario: The number of buckets is bounded
    # Guards against memory that grows with the number of calls.
    When 20000 latencies from 1 microsecond to 1 hour are recorded
    Then at most 32 KB of counts are in use

  Scenario: Usual latencies take little
    # Guards against a histogram that takes more than the 15 KB of the library before.
    When 20000 latencies from 20 to 2000 milliseconds are recorded
    Then at most 9 KB of counts are in use
