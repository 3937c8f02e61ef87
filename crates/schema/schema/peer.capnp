# Messages between entry instances.
@0xd2a6c1f4b7e95a31;

struct Hello {
  instance @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
}

struct Heartbeat {
  # Sent every heartbeat interval to each peer.
  instance @0 :Text;
  incarnation @1 :UInt64;
  # Version of the configuration in force at the sender.
  version @2 :UInt64;
  # Free slots and waiting calls at the sender, by service.
  loads @3 :List(Load);
  draining @4 :Bool;
}

struct Load {
  service @0 :Text;
  free @1 :UInt32;
  waiting @2 :UInt32;
}

struct Call {
  service @0 :Text;
  team @1 :Text;
  urgency @2 :UInt8;
  # Remaining time to the caller's deadline, in microseconds.
  budgetUs @3 :UInt64;
  idempotent @4 :Bool;
  key @5 :Data;
  method @6 :Text;
  path @7 :Text;
  body @8 :Data;
  # Number of times that the call has been forwarded.
  hops @9 :UInt8;
  # Identity of the call, echoed by the endpoint.
  identity @10 :Text;
  contentType @11 :Text;
}

struct Answer {
  outcome @0 :Outcome;
  status @1 :UInt16;
  body @2 :Data;
  contentType @3 :Text;
  reason @4 :Text;
}

enum Outcome {
  answered @0;
  notRun @1;
  unknown @2;
}

struct Request {
  # An operator's or a submitter's request, passed to the owner of what it is about.
  method @0 :Text;
  path @1 :Text;
  body @2 :Data;
}

struct Response {
  status @0 :UInt16;
  body @1 :Data;
}

interface Peer {
  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  call @1 (call :Call) -> (answer :Answer);
  request @2 (request :Request) -> (response :Response);
  # Returns the newest accepted configuration, encoded as Config of config.capnp.
  config @3 (known :UInt64) -> (version :UInt64, bytes :Data);
}
