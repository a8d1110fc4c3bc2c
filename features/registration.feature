Feature: A late heartbeat brings no backend server back

  Scenario: Heartbeats of one incarnation count by their sequence
    Given a heartbeat 5 of incarnation "i-1" that is "draining"
    And a heartbeat 4 of incarnation "i-1" that is "serving"
    Then that heartbeat told nothing new
    And the backend server is "i-1" and "draining"

  Scenario: A server that drains does not come back as it was
    Given a heartbeat 1 of incarnation "i-1" that is "draining"
    And a heartbeat 2 of incarnation "i-1" that is "serving"
    Then the backend server is "i-1" and "draining"

  Scenario: A new incarnation takes the place of one that is draining
    Given a heartbeat 9 of incarnation "i-1" that is "draining"
    And a heartbeat 1 of incarnation "i-2" that is "serving"
    Then the backend server is "i-2" and "serving"

  Scenario: A heartbeat of one that left is late
    Given a heartbeat 1 of incarnation "i-1" that is "serving"
    And incarnation "i-1" has left
    And a heartbeat 2 of incarnation "i-1" that is "serving"
    Then that heartbeat told nothing new
    And there is no backend server

  Scenario: A late heartbeat of an unknown dead one gives way to the living
    Given a heartbeat 3 of incarnation "i-2" that is "serving"
    And a heartbeat 8 of incarnation "i-1" that is "serving"
    And a heartbeat 4 of incarnation "i-2" that is "serving"
    Then the backend server is "i-2" and "serving"
