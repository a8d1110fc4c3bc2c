Feature: The users' platform is named in its adapter and its deploy files alone

  Scenario: Nothing outside the adapter knows the platform's calls, headers and fields
    When each source file outside the adapter, stand-ins and scenarios is read
    Then no line of it names the platform
