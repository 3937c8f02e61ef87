//! The catalogue of events.

/// How much attention an event asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Something an operator has to act on.
    Error,
    /// Something out of the ordinary that the scheduler handles.
    Warning,
    /// A change of state.
    Info,
    /// One routing or placement decision.
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
            /// Every event, in the order of the numbers.
            pub const ALL: &[Self] = &[$(Self::$code,)*];

            /// Returns the number of the event.
            pub const fn number(self) -> u16 {
                match self {
                    $(Self::$code => $number,)*
                }
            }

            /// Returns the name of the event.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$code => $name,)*
                }
            }

            /// Returns what the event means.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Self::$code => $meaning,)*
                }
            }

            /// Returns how much attention the event asks for.
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
    Fenced = 5, Error, "instance.fenced", "A successor has fenced this session; the instance starts anew with a new incarnation.";
    ListenFailed = 6, Error, "instance.listen_failed", "A listener accepts no more connections.";
    CallRouted = 100, Decision, "call.routed", "A routing decision for one call.";
    CallAnswered = 101, Decision, "call.answered", "The caller has been told the outcome of its call.";
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
