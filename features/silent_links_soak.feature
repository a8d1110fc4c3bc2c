Feature: A soak of links that go silent

  # Guards against unsafe requests that run twice, or are told "not run" and run, as links go silent.
  Scenario Outline: Links that go silent at random moments lose and double nothing
    When the soak of silent links runs with seed <seed> for 20 seconds
    Then nothing of it is broken, and links went silent

    Examples:
      | seed |
      | 1    |
      | 2    |
