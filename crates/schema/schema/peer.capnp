# Messages between entry instances.
@0xd2a6c1f4b7e95a31;

struct Hello {
  instance @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  # IP address and port at which the instance listens for peers.
  address @3 :Text;
}

struct ServiceLoad {
  service @0 :Text;
  free @1 :UInt32;
  usable @2 :UInt32;
  waiting @3 :UInt32;
  inFlight @4 :UInt32;
  ejected @5 :UInt32;
}

struct Load {
  draining @0 :Bool;
  services @1 :List(ServiceLoad);
  runningTasks @2 :UInt32;
}

struct Call {
  service @0 :Text;
  team @1 :Text;
  urgency @2 :UInt8;
  # Remaining time to the caller's deadline, in microseconds.
  budgetUs @3 :UInt64;
  idempotent @4 :Bool;
  # Idempotency key, empty when there is none.
  key @5 :Data;
  # Identity of the call, echoed by the endpoint.
  identity @6 :Text;
  # Number of times that the call has been forwarded.
  hops @7 :UInt8;
  method @8 :Text;
  path @9 :Text;
  media @10 :Text;
  body @11 :Data;
  keyDigest @12 :UInt64;
  # Whether the owner of the key has journaled it for this very call.
  claimed @13 :Bool;
}

enum Outcome {
  answered @0;
  notRun @1;
  unknown @2;
}

struct Answer {
  outcome @0 :Outcome;
  status @1 :UInt16;
  media @2 :Text;
  body @3 :Data;
  # Why the call was not run or its outcome is unknown.
  reason @4 :Text;
  # Whether the answer was given earlier to the same idempotency key.
  repeat @5 :Bool;
}

struct Request {
  # An operator's or a submitter's request, passed to the owner of its subject.
  method @0 :Text;
  path @1 :Text;
  query @2 :Text;
  body @3 :Data;
  hops @4 :UInt8;
}

struct Response {
  status @0 :UInt16;
  media @1 :Text;
  body @2 :Data;
}

interface Peer {
  hello @0 (from :Hello) -> (hello :Hello);
  # Carries one message of the control protocol.
  control @1 (from :Hello, message :Data) -> ();
  call @2 (call :Call) -> (answer :Answer);
  request @3 (request :Request) -> (response :Response);
  # Tells the load of the sender.
  load @4 (from :Hello, load :Load) -> ();
}
