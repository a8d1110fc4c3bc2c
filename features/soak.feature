Feature: Promises hold while real processes are harmed from outside

  Daemons and backend servers run as processes; signals kill, stop and pause them, and proxies delay,
  cut one way, silence and reset the paths to the platform, the backend servers and the callers.

  Scenario Outline: A seed breaks no promise
    When 6 nodes are harmed 8 times by seed <seed>
    Then no call is lost, doubled, not whole or told falsely, and no version goes back
    And afterwards a change is in force everywhere and callers are served

    Examples:
      | seed |
      | 3    |
