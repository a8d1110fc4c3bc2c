Feature: Bad input ends its own connection and nothing else

  Background:
    Given a daemon that serves

  Scenario Outline: A bad HTTP request is refused and its connection closed
    When a caller sends "<request>"
    Then it is told status <status> and the connection is closed
    And the daemon still answers

    Examples:
      | request                                                                    | status |
      | GARBAGE\r\n\r\n                                                            | 400    |
      | GET / HTTP/1.1\r\n\r\n                                                     | 400    |
      | GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n                               | 400    |
      | GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n                     | 400    |
      | GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n | 400   |
      | GET / HTTP/1.1\r\nHost: a\r\nX: {20000 bytes}\r\n\r\n                      | 431    |
      | POST /bookings HTTP/1.1\r\nHost: desk.vatuwaqa.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n    | 400    |

      | GET /slots HTTP/9.9\r\nHost: desk.vatuwaqa.example\r\n\r\n | 505 |
      | GET /slots HTTP/1.1\r\nHost: desk.vatuwaqa.example\r\nHornbeamgw-Deadline-Ms: soon\r\n\r\n | 400 |
      | GET /slots HTTP/1.1\r\nHost: desk.vatuwaqa.example\r\nHornbeamgw-Deadline-Ms: {5000 digits}\r\n\r\n | 400 |
      | GET /slots/../../x HTTP/1.1\r\nHost: desk.vatuwaqa.example\r\n\r\n | 400 |
      | GET /slots/%2e%2E/x HTTP/1.1\r\nHost: desk.vatuwaqa.example\r\n\r\n | 400 |

  Scenario Outline: Less usual requests are answered as the standard says
    When a caller sends "<request>"
    Then the answer begins with "<line>" and its body is "<body>"

    Examples:
      | request | line | body |
      | HEAD /slots HTTP/1.1\r\nHost: desk.vatuwaqa.example\r\nConnection: close\r\n\r\n | HTTP/1.1 503 Service Unavailable | empty |
      | HEAD /nothing HTTP/1.1\r\nHost: nowhere.example\r\nConnection: close\r\n\r\n | HTTP/1.1 404 Not Found | empty |
      | GET http://desk.vatuwaqa.example/slots HTTP/1.1\r\nHost: other.example\r\nConnection: close\r\n\r\n | HTTP/1.1 503 Service Unavailable | no_backend |

  Scenario: A slow request is refused
    When a caller sends half a head and then nothing
    Then it is told status 408 and the connection is closed
    And the daemon still answers

  Scenario: A request whose body stalls is refused
    When a caller sends half a body and then nothing
    Then it is told status 408 and the connection is closed
    And the daemon still answers

  Scenario Outline: A bad frame drops the link and is counted
    When somebody opens a link and sends "<frames>"
    Then the link is dropped and "<fault>" is counted
    And the daemon still answers

    Examples:
      | frames         | fault                                  |
      | garbage        | not a frame                            |
      | huge length    | a frame of                             |
      | another fleet  | a hello of fleet                       |
      | no hello       | a link that does not open with a hello |

  Scenario: A datagram of another fleet changes nothing
    When a datagram of another fleet brings a member and a version
    Then the daemon knows nobody and counts a bad datagram

  Scenario Outline: A bad announcement is refused with every problem
    When a backend server announces itself with "<key>" as "<value>"
    Then it is told status 400 and the problem names "<key>"

    Examples:
      | key         | value        |
      | slots       | 0            |
      | state       | lively       |
      | address     | 10.0.0.1:80  |
      | ttl_ms      | 1            |
      | extra       | 1            |
