# Messages that entry instances exchange.
@0xd2a6c1f4b7e95a31;

struct Hello {
  instance @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  # IP address and port at which the instance accepts connections of peers.
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
  # Time left until the caller's deadline, in microseconds.
  budgetUs @3 :UInt64;
  idempotent @4 :Bool;
  # Idempotency key, empty when there is none.
  key @5 :Data;
  # Identity of the call, which the endpoint repeats in its response.
  identity @6 :Text;
  # Number of times that the call has been forwarded.
  hops @7 :UInt8;
  method @8 :Text;
  path @9 :Text;
  media @10 :Text;
  body @11 :Data;
  keyDigest @12 :UInt64;
  # Whether the owner of the key has journaled the key for this call.
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
  # Reason why the call was not run or why its outcome is unknown.
  reason @4 :Text;
  # Whether this is the stored answer to an earlier call with the same idempotency key.
  repeat @5 :Bool;
}

struct Request {
  # Request of an operator or a submitter, forwarded to the instance that owns its subject.
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
  # Delivers one message of the control protocol.
  control @1 (from :Hello, message :Data) -> ();
  call @2 (call :Call) -> (answer :Answer);
  request @3 (request :Request) -> (response :Response);
  # Reports the load of the sender.
  load @4 (from :Hello, load :Load) -> ();
}
