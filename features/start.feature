Feature: A daemon starts with what it needs

  The pattern: all daemons of a fleet are killed, or restart one after another; 461 starts in 43 s
  of 195 daemons were a fifth of all that the fleet worked.

  Scenario: Settings in JSON are read without the YAML library
    When a process loads a daemon and reads settings written as JSON
    Then it has loaded none of "yaml, cappa, statsd, matplotlib, importlib.resources, tempfile, pythonjsonlogger, ctypes, ipaddress, urllib.parse"
    And it has loaded at most 325 modules

  Scenario: The adapter to the mesh platform loads as little
    # Guards against 0.5 MB for a library of URLs and what it imports.
    When a process loads a daemon with the adapter to the mesh platform
    Then it has loaded none of "ipaddress, urllib.parse, yaml"

  Scenario: Metrics and plain requests need no library of URLs
    # Guards against loading it for what a daemon does all the time.
    When a process starts a daemon and asks it for metrics
    Then it has loaded none of "urllib.parse"
    And it answers with metrics, also for "/metrics?format=text" and "http://x/metrics"

  Scenario: Query strings are those of the library that was used before
    # Guards against a row of the platform's store that is asked for by another name.
    When 2000 random queries are encoded
    Then each is encoded as the standard library does

  Scenario: Settings in YAML are read as before
    When a process loads a daemon and reads settings written as YAML
    Then it has read the same settings

  Scenario: A daemon's process loads no OpenSSL
    # Guards against 4.7 MB of resident memory for TLS, which no connection of a daemon uses.
    When the entry point of a daemon is run
    Then it has loaded none of "ssl, _ssl, _hashlib, libssl, libcrypto"
    And it has loaded "asyncio, hashlib, hornbeamgw.daemon.main"

  Scenario Outline: A daemon runs on the event loop of its settings and loads no OpenSSL for it
    # Guards against a setting that changes nothing, and against uvloop loading OpenSSL.
    When a daemon is started as deployed with the event loop "<name>"
    Then its process has <maps> and no "libssl"
    And a request to it is answered

    Examples:
      | name    | maps        |
      | uvloop  | uvloop      |
      | asyncio | no uvloop   |

  Scenario: A daemon listens on IPv6 addresses
    # Guards against a socket of the wrong family.
    When a process starts a daemon on "[::1]:0"
    Then all its addresses are of the host "::1"

  Scenario: A listening address that is in use is reported
    # Guards against a daemon that runs without one of its ports.
    When a process starts a daemon whose port for callers is in use
    Then it fails with "address already in use"

  Scenario: A plug-in may use OpenSSL
    # Guards against a stand-in that stays behind, and against digests that differ.
    When a process that keeps OpenSSL out imports it afterwards
    Then it gets the real one, and the same digests as before

  Scenario Outline: TLS on the daemon's event loop is refused
    # Guards against a connection in plain text where TLS was asked for.
    When a process that keeps OpenSSL out opens a connection with TLS on "<name>"
    Then the connection fails, and nothing was sent

    Examples:
      | name    |
      | uvloop  |
      | asyncio |

  Scenario: The build of a deployment compiles the daemon's code
    # Guards against compiling all modules at each start, 0.2 core-seconds and 1.8 MB.
    When the last command of the build is run on a copy of the code
    Then each module of a daemon that is started from the copy has its compiled file
    And a module that changes afterwards is not run from its compiled file

  Scenario: The build of a deployment compiles the schema of the messages
    # Guards against messages that differ from those of the text, and against 1.9 MB of a parser.
    When the last command of the build is run on a copy of the code
    Then a daemon that is started from the copy reads the compiled schema
    And its structs and messages are those of the text

  Scenario Outline: A compiled schema that does not fit is not used
    # Guards against a daemon that doesn't start, or that speaks another version of the protocol.
    When the last command of the build is run on a copy of the code
    And <what>
    Then a daemon that is started from the copy reads the text of the schema

    Examples:
      | what                                    |
      | the text of the schema changes          |
      | the compiled schema is cut off          |
      | the compiled schema is missing          |
      | the library lacks what the loading uses |

  Scenario Outline: The names that the package exports are found when they are first used
    # Guards against a name whose module is no longer imported with the package.
    When a process imports the name "<name>" of the package
    Then it is that of the module "<module>"

    Examples:
      | name           | module   |
      | Catalogue      | edit     |
      | Change         | edit     |
      | Delta          | edit     |
      | Edit           | edit     |
      | Failure        | verdict  |
      | Problem        | problems |
      | Reason         | verdict  |
      | Settings       | options  |
      | Snapshot       | snapshot |
      | Verdict        | verdict  |
      | parse_settings | options  |

  # Guards against a module that imports what only developers install: a deployed daemon would fail
  # when it first needs that module.
  Scenario: All modules of a daemon import only what a deployment installs
    When all modules of the core, the daemon and the back ends are imported without the packages for developers
    Then none of them is missing

  # Guards against messages that only the text of the schema offers: deployed daemons use the compiled one.
  Scenario: All messages can be encoded with the compiled schema
    When the modules that encode messages are imported with a compiled schema
    Then none of them is missing
