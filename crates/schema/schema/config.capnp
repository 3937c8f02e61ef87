# The configuration of one version, merged from all files.
@0xb8f0a3d56c2e9147;

struct Config {
  version @0 :UInt64;
  services @1 :List(Service);
  classes @2 :List(Class);
  teams @3 :List(Team);
  targets @4 :List(Target);
  domains @5 :List(Domain);
  policy @6 :Policy;
}

enum Urgency {
  low @0;
  normal @1;
  high @2;
  urgent @3;
}

struct Size {
  cpuMillis @0 :UInt64;
  memoryBytes @1 :UInt64;
  accelerators @2 :UInt64;
}

struct Service {
  name @0 :Text;
  team @1 :Text;
  urgency @2 :Urgency;
  idempotent @3 :Bool;
  deadlineUs @4 :UInt64;
  longestRunUs @5 :UInt64;
  slots @6 :UInt32;
  maxBody @7 :UInt64;
  keyRetentionUs @8 :UInt64;
  # Calls per second.
  rate @9 :Float64;
}

struct Class {
  name @0 :Text;
  size @1 :Size;
  runTimeUs @2 :UInt64;
  deadlineUs @3 :UInt64;
  urgency @4 :Urgency;
  checkpoint @5 :Bool;
  attempts @6 :UInt32;
  service @7 :Bool;
}

struct Team {
  name @0 :Text;
  weight @1 :UInt32;
  quota @2 :Size;
  borrow @3 :Bool;
}

struct Target {
  name @0 :Text;
  goal :union {
    answer :group {
      service @1 :Text;
      withinUs @2 :UInt64;
    }
    deadline :group {
      class @3 :Text;
    }
  }
  # Fraction from 0 to 1 of the calls or jobs that must meet the goal.
  share @4 :Float64;
  # Penalty for each miss, in hundredths of the currency in which penalties are agreed.
  penalty @5 :UInt64;
}

struct Domain {
  name @0 :Text;
  workers @1 :UInt32;
  worker @2 :Size;
  rack @3 :UInt32;
  executors @4 :UInt32;
}

struct Policy {
  # Budgets and margin are fractions from 0 to 1.
  retryBudget @0 :Float64;
  evictionBudget @1 :Float64;
  sizeMargin @2 :Float64;
  taskLeaseUs @3 :UInt64;
  maxQueue @4 :UInt32;
}
