# Records of idempotency keys, as the journal stores them.
@0xa95f0c1b3d6e2784;

struct Key {
  service @0 :Text;
  text @1 :Data;
  # Digest of the request, which tells a repeat from another request.
  digest @2 :UInt64;
  union {
    # A call with the key may be sent from now on; time in milliseconds that it is kept.
    begun @3 :UInt64;
    answered @4 :Void;
    notRun @5 :Void;
    unknown @6 :Void;
  }
  # Call that began or ended, as its instance numbers it.
  call @7 :UInt64;
}

struct Keys {
  records @0 :List(Key);
}
