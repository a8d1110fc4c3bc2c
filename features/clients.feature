Feature: The client guide's example does what the guide says

  Scenario Outline: A booking is made at most once
    Given the example of the client guide
    When the mesh answers "<answers>" and the booking <found> found
    Then the booking was sent <sent> times and the caller gets <result>

    Examples:
      | answers                       | found  | sent | result      |
      | answered                      | is not | 1    | an answer   |
      | not_run, not_run, answered    | is not | 3    | an answer   |
      | not_run, may_have_run         | is     | 2    | an answer   |
      | may_have_run, answered        | is not | 1    | an error    |
      | not_run, not_run, not_run     | is not | 3    | an error    |
