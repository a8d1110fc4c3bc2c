# Messages exchanged by daemons: length-prefixed Frames over TCP, Datagrams over UDP.
# Fields ending in Ms are in milliseconds; a version is a catalogue version.
@0xb5f0c2a41e7d9c63;

struct Frame {
  union {
    hello @0 :Hello;
    heartbeat @1 :Bool;
    call @2 :Call;
    body @3 :Body;
    reply @4 :Reply;
    refusal @5 :Refusal;
    credit @6 :Credit;
    cancel @7 :UInt64;
    question @8 :Question;
    resolution @9 :Resolution;
    pull @10 :UInt64;
    deltas @11 :List(Data);
    snapshot @12 :Data;
    viewRequest @13 :Member;
    view @14 :List(Member);
    floorRequest @15 :Text;
    floor @16 :Floor;
    outlookRequest @17 :OutlookRequest;
    outlook @18 :Outlook;
    identifiedCall @19 :IdentifiedCall;
    identifiedOutlookRequest @20 :IdentifiedOutlookRequest;
    departures @21 :Departures;
  }
}

struct Hello {
  fleet @0 :Text;
  member @1 :Text;
  incarnation @2 :UInt64;
  dataCentre @3 :Text;
}

# Starts an attempt of a request: its head, and its body or the beginning of it.
struct Call {
  attempt @0 :UInt64;
  callId @1 :Text;
  service @2 :Text;
  entry @3 :Text;
  idempotent @4 :Bool;
  deadlineMs @5 :UInt32;
  retryBudget @6 :UInt8;
  head @7 :Data;
  body @8 :Data;
  end @9 :Bool;
  route @10 :Text;
  objectiveMs @11 :Int32;  # remaining time of the latency objective, negative if exceeded
  aimMs @12 :UInt32;  # whole latency objective
  priority @13 :UInt16;
  cameBack @14 :Bool;
  repeat @15 :Bool;
  limits @16 :Limits;
  fingerprint @17 :UInt64;  # hash of the request, 0 if unknown
  server @18 :UInt16;  # number of the backend server beside the receiver
  typicalMs @19 :UInt32;  # typical service time of such a request, 0 if unknown
  heard @20 :Declaration;  # what the server declared in its last answer to the sender
  formerWorkMs @21 :UInt32;  # how long the sender's requests through the receiver's former process may go on
  acceptsLate @22 :Bool;  # whether to wait even if it can't be in time
}

# Call of an organisation. A further field of Call would lengthen the calls that have none.
struct IdentifiedCall {
  call @0 :Call;
  organisation @1 :Text;
  keyDigest @2 :Data;  # SHA-256 digest of the caller's key
  identifiedBy @3 :UInt64;  # catalogue version by which the organisation was identified
}

# What a backend server says of itself in its answers.
struct Declaration {
  run @0 :UInt64;  # fingerprint of the server's run, 0 if unknown
  hasLimit @1 :Bool;
  rateLimit @2 :Float64;  # requests per second from all daemons together
  leaving @3 :Bool;
}

# Asks for the expected wait of a request without admitting it.
struct OutlookRequest {
  number @0 :UInt32;
  service @1 :Text;
  entry @2 :Text;
  route @3 :Text;
  deadlineMs @4 :UInt32;
  objectiveMs @5 :Int32;
  aimMs @6 :UInt32;
  priority @7 :UInt16;
  cameBack @8 :Bool;
  server @9 :UInt16;
  acceptsLate @10 :Bool;
}

# Outlook request of an organisation.
struct IdentifiedOutlookRequest {
  request @0 :OutlookRequest;
  organisation @1 :Text;
}

struct Outlook {
  number @0 :UInt32;
  takes @1 :Bool;
  freeSlots @2 :UInt16;
  waitMs @3 :UInt32;
  retryAfterMs @4 :UInt32;
}

# Admission limits of a catalogue entry at one backend server.
struct Limits {
  slots @0 :UInt16;
  reserved @1 :UInt16;
  queue @2 :UInt16;
}

struct Body {
  attempt @0 :UInt64;
  data @1 :Data;
  end @2 :Bool;
  leaving @3 :Bool;
}

struct Reply {
  attempt @0 :UInt64;
  status @1 :UInt16;
  head @2 :Data;
  body @3 :Data;
  end @4 :Bool;
  freeSlots @5 :UInt16;
  waitMs @6 :UInt32;
  serviceMs @7 :UInt32;
  declared @8 :Declaration;
}

# Ends an attempt without a response.
struct Refusal {
  attempt @0 :UInt64;
  mayHaveRun @1 :Bool;
  reason @2 :Text;
  detail @3 :Text;
  retryAfterMs @4 :UInt32;
  freeSlots @5 :UInt16;
  reachedServer @6 :Bool;
  waitMs @7 :UInt32;
}

# Flow control: allows the peer to send more bytes of a body.
struct Credit {
  attempt @0 :UInt64;
  bytes @1 :UInt32;
  urgent @2 :Bool;
}

# Asks for the outcome of an attempt whose link was lost; answered by a Resolution.
struct Question {
  attempt @0 :UInt64;
  ageMs @1 :UInt32;
  server @2 :UInt16;
}

struct Resolution {
  attempt @0 :UInt64;
  mayHaveRun @1 :Bool;
}

# Lowest version that a daemon may apply.
struct Floor {
  version @0 :UInt64;
  confirmed @1 :Bool;
}

# Runs of the sender's servers that have said that they leave; answered by what is kept of them.
struct Departures {
  runs @0 :List(LeftRun);
  reliable @1 :Bool;  # in an answer: whether its sender has been running for long enough
}

struct LeftRun {
  instance @0 :Text;
  startedMs @1 :UInt64;
  gone @2 :Bool;  # whether it has left; otherwise it drains
}

struct Member {
  address @0 :Text;
  dataCentre @1 :Text;
  region @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt32;
  status @5 :UInt8;
  service @6 :Text;
  serverState @7 :UInt8;
  slots @8 :UInt16;
  version @9 :UInt64;
  admin @10 :Text;
  bandwidth @11 :UInt64;
  serverStartedMs @12 :UInt64;
  findings @13 :List(Finding);
  software @14 :Text;
  server @15 :UInt16;
  furtherServers @16 :List(FurtherServer);
  standings @17 :List(Standing);
}

# State of the rollout of a software version of a service.
struct Standing {
  service @0 :Text;
  target @1 :Text;
  number @2 :UInt64;
  phase @3 :UInt8;
  step @4 :UInt16;
  lengthMs @5 :UInt16;
  closing @6 :UInt8;
}

# Backend server beside a daemon, other than the one described in Member itself.
struct FurtherServer {
  number @0 :UInt16;
  service @1 :Text;
  state @2 :UInt8;
  slots @3 :UInt16;
  startedMs @4 :UInt64;
  software @5 :Text;
}

# Result of the detection of requests that crash backend servers.
struct Finding {
  number @0 :UInt32;
  kind @1 :UInt8;
  fingerprints @2 :List(UInt64);
}

struct Datagram {
  fleet @0 :UInt64;
  sender @1 :Text;
  version @2 :UInt64;
  digest @3 :UInt64;
  gossip @4 :List(Member);
  union {
    probe @5 :UInt32;
    ack @6 :UInt32;
    indirect @7 :Indirect;
    push @8 :Push;
    have @9 :Bool;
    tally @11 :Tally;
    quotaReport @14 :QuotaReport;
    quotaGrant @15 :QuotaGrant;
  }
  viewHash @10 :UInt64;
  era @12 :UInt32;  # 0 if it is unknown or does not fit
  wideEra @13 :UInt64;  # an era that does not fit into 32 bits
}

struct QuotaUse {
  organisation @0 :Text;
  started @1 :UInt32;  # requests started since the sender started
  recent @2 :UInt32;  # requests started in the last window
  wanted @3 :UInt32;  # requests that arrived since the last report
  refused @4 :UInt32;  # requests refused since the last report
  waiting @5 :UInt16;  # requests that wait for a token
  wasWithin @6 :Bool;  # for a new owner: the organisation was within its quota
}

# Use of organisations at the sender, for the owner of a partition of them.
struct QuotaReport {
  partition @0 :UInt16;
  session @1 :UInt32;  # differs between processes of the sender and its periods with an owner
  sequence @2 :UInt32;
  uses @3 :List(QuotaUse);
}

struct QuotaLease {
  organisation @0 :Text;
  free @1 :Bool;
  tokens @2 :UInt32;
  validMs @3 :UInt32;
  retryAfterMs @4 :UInt32;
  rate @5 :Float32;  # tokens per second that replace used ones
}

# Answers a QuotaReport, or tells that organisations are metered from now on (sequence 0).
struct QuotaGrant {
  partition @0 :UInt16;
  session @1 :UInt32;
  sequence @2 :UInt32;
  leases @3 :List(QuotaLease);
}

# Responses of a backend server since it started, and how many of them were bad, by route.
struct Tally {
  service @0 :Text;
  server @1 :UInt16;
  software @2 :Text;
  counts @3 :List(Count);
  closedStep @4 :UInt16;  # rollout step at which the server was closed, 0 while it is open
  unsafe @5 :UInt16;  # non-idempotent requests that a closed server still holds

  struct Count {
    route @0 :Text;
    answers @1 :UInt32;
    bad @2 :UInt32;
  }
}

# Asks the receiver to probe the target.
struct Indirect {
  nonce @0 :UInt32;
  target @1 :Text;
}

# Delivers a version, which the receiver forwards within the scope.
struct Push {
  version @0 :UInt64;
  scope @1 :UInt8;
  low @2 :Text;  # forward to addresses from low (inclusive)
  high @3 :Text;  # to high (exclusive), within a data centre
  delta @4 :Data;
  parent @5 :UInt64;
}
