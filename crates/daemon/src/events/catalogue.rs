//! The catalogue of events.

/// The severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// An operator must act on the event.
    Error,
    /// An unusual situation that the scheduler handles by itself.
    Warning,
    /// A change of state in normal operation.
    Info,
    /// A single routing, placement or control decision.
    Decision,
}

macro_rules! catalogue {
    ($($code:ident = $number:literal, $severity:ident, $name:literal, $meaning:literal;)*) => {
        /// An event that the entry instance logs.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Code {
            $(
                #[doc = $meaning]
                $code,
            )*
        }

        impl Code {
            /// All events in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$code,)*];

            /// Returns the number that identifies the event in the log.
            pub const fn number(self) -> u16 {
                match self {
                    $(Self::$code => $number,)*
                }
            }

            /// Returns the name that identifies the event in the log.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$code => $name,)*
                }
            }

            /// Returns the description of the event.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Self::$code => $meaning,)*
                }
            }

            /// Returns the severity of the event.
            pub const fn severity(self) -> Severity {
                match self {
                    $(Self::$code => Severity::$severity,)*
                }
            }
        }
    };
}

catalogue! {
    Started = 1, Info, "instance.started", "The entry instance listens on its addresses.";
    Draining = 2, Info, "instance.draining", "A graceful shutdown has begun; no new work is accepted.";
    Stopped = 3, Info, "instance.stopped", "The entry instance has ended.";
    DrainTimedOut = 4, Error, "instance.drain_timed_out", "Calls were still in progress when the drain time ended.";
    Fenced = 5, Error, "instance.fenced", "A successor has fenced this session; the instance restarts with a new incarnation.";
    ListenFailed = 6, Error, "instance.listen_failed", "A listener accepts no more connections.";
    CallRouted = 100, Decision, "call.routed", "A routing decision for one call.";
    CallAnswered = 101, Decision, "call.answered", "The outcome of a call was sent to its caller or peer.";
    CallerRefused = 102, Warning, "caller.refused", "A request was malformed or beyond a limit.";
    TaskPlaced = 200, Decision, "task.decided", "A placement, eviction or life-cycle decision for one task or job.";
    WorkerState = 210, Warning, "worker.state", "An exchange with a worker failed or was refused.";
    TargetMissed = 300, Warning, "target.missed", "A target was missed and counted.";
    ShardGained = 400, Info, "shard.gained", "This instance owns a shard from now on.";
    ShardLost = 401, Info, "shard.lost", "This instance no longer owns a shard.";
    ControlDecision = 402, Decision, "control.decided", "A decision on membership, ownership or the journal.";
    StoreState = 420, Warning, "store.state", "The platform's table or object store changed between up and down.";
    ListState = 421, Warning, "list.state", "The platform's instance list could not be read.";
    ConfigInForce = 500, Info, "config.in_force", "A configuration is in force on this instance.";
    ConfigRefused = 501, Warning, "config.refused", "A configuration was not accepted.";
    RecoveryFailed = 510, Error, "recovery.failed", "Durable state of a shard could not be read back.";
}

impl Code {
    /// Returns the level at which the event is logged.
    pub const fn level(self) -> log::Level {
        match self.severity() {
            Severity::Error => log::Level::Error,
            Severity::Warning => log::Level::Warn,
            Severity::Info | Severity::Decision => log::Level::Info,
        }
    }
}
