# Records of idempotency keys in the journal.
@0xa95f0c1b3d6e2784;

struct Key {
  service @0 :Text;
  text @1 :Data;
  # Digest of the request, which distinguishes a repeated request from a different one.
  digest @2 :UInt64;
  union {
    # A call with the key may be sent from now on. The value is the retention time of the key
    # in milliseconds.
    begun @3 :UInt64;
    answered @4 :Void;
    notRun @5 :Void;
    unknown @6 :Void;
  }
  # Number of the call that began or ended, as assigned by its entry instance.
  call @7 :UInt64;
}

struct Keys {
  records @0 :List(Key);
}
