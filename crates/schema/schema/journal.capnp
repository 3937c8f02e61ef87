# Rows, objects and messages of the control plane.
#
# Every stored value is wrapped in an envelope of format version, checksum and payload.
@0xb8e1d27c5a90f463;

struct Session {
  # Row `session/<instance>`, which gives one incarnation the right to write.
  incarnation @0 :UInt64;
  # Random number that the incarnation draws; distinguishes two starts of the instance.
  nonce @1 :UInt64;
  fencedBy @2 :Text;
  challenge @3 :UInt64;
  answer @4 :UInt64;
}

struct Shard {
  # Row `shard/<kind>/<number>`.
  owner @0 :Text;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;
  snapshot @3 :Snapshot;
  # Sessions whose journals hold records that are not in a snapshot.
  journals @4 :List(SessionName);
}

struct SessionName {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Snapshot {
  object @0 :Text;
  # Epoch of the owner that wrote the snapshot.
  epoch @1 :UInt64;
  # Sequence number of the last record of that owner that the snapshot contains.
  upTo @2 :UInt64;
  checksum @3 :UInt32;
}

struct Batch {
  # Row `journal/<instance>/<incarnation>/<number>`.
  by @0 :SessionName;
  number @1 :UInt64;
  records @2 :List(Record);
  # Lowest row number of the session that a recovery may still need.
  floor @3 :UInt64;
}

struct Record {
  sequence @0 :UInt64;
  shardKind @1 :UInt8;
  shardNumber @2 :UInt32;
  kind @3 :UInt16;
  bytes @4 :Data;
  # Epoch under which the writer owned the shard.
  epoch @5 :UInt64;
}

struct ConfigRow {
  # Row `config/current`.
  version @0 :UInt64;
  # Checksum of the object that holds the newest version.
  checksum @1 :UInt32;
  # Most recently accepted versions with the identity of each acceptance, newest first.
  recent @2 :List(Accepted);
}

struct Accepted {
  version @0 :UInt64;
  identity @1 :UInt64;
  object @2 :Text;
}

struct Content {
  # Object `config/<version>-<identity>`.
  version @0 :UInt64;
  author @1 :Text;
  keys @2 :List(KeyDigest);
  bytes @3 :Data;
}

struct KeyDigest {
  key @0 :Text;
  digest @1 :UInt64;
}

struct Penalties {
  # Row `penalty/<hour>/<instance>/<incarnation>/<number>`, and the object of an hour.
  entries @0 :List(Penalty);
}

struct Penalty {
  target @0 :Text;
  subject @1 :UInt64;
  minute @2 :UInt64;
  team @3 :Text;
  service @4 :Text;
  amount @5 :UInt64;
}

struct Counts {
  # Row `count/<hour>`, with the closed entries of the hour.
  object @0 :Text;
  checksum @1 :UInt32;
  counts @2 :List(Count);
}

struct Count {
  minute @0 :UInt64;
  target @1 :Text;
  team @2 :Text;
  service @3 :Text;
  misses @4 :UInt64;
  amount @5 :UInt64;
}

struct Message {
  incarnation @0 :UInt64;
  union {
    beat @1 :Beat;
    handed @2 :Handed;
    received @3 :Owners;
    owners @4 :Owners;
    ownersWanted @5 :Void;
    notify @6 :UInt64;
    # Requests the newest content if its version is higher than this one.
    contentWanted @7 :UInt64;
    content @8 :Data;
    pending @9 :Penalties;
    # Entries of this sender that are now stored durably.
    lasting @10 :Penalties;
    membersWanted @11 :Void;
    members @12 :List(News);
  }
}

struct Beat {
  standing @0 :UInt8;
  life @1 :UInt64;
  version @2 :UInt64;
  owners @3 :UInt64;
  domain @4 :Text;
  news @5 :List(News);
  # Digest over all members and their standings.
  members @6 :UInt64;
}

struct News {
  instance @0 :Text;
  incarnation @1 :UInt64;
  standing @2 :UInt8;
  domain @3 :Text;
  # Increases each time that the instance changes or confirms its own standing.
  life @4 :UInt64;
}

struct Owners {
  entries @0 :List(Owner);
}

struct Owner {
  shardKind @0 :UInt8;
  shardNumber @1 :UInt32;
  owner @2 :Text;
  incarnation @3 :UInt64;
  epoch @4 :UInt64;
}

struct Handed {
  entries @0 :List(Owner);
  carries @1 :List(Data);
}
