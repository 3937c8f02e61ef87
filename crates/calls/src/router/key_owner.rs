//! Calls that wait until the shard of their key has a reachable owner.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::CallId;

use super::entry::State;
use super::timer::Timer;
use super::{Command, Outcome, Reason, Router};

/// Interval between two attempts to find the owner of a key.
const RETRY_INTERVAL: Span = Span::from_ms(25);

impl Router {
    /// Holds a call that has not been sent until its key has an owner again.
    ///
    /// A shard of keys has no owner for a short time during a hand-over and during a takeover
    /// after a crash. Instances learn of a change of owner at different times, so a call may
    /// also arrive at an instance that is about to own the shard.
    pub(crate) fn await_key_owner(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        let retry_at = now + RETRY_INTERVAL;
        if retry_at >= entry.call.deadline {
            return self.finish(id, Outcome::Unknown(Reason::NoKeyOwner), out);
        }
        entry.state = State::AwaitingKeyOwner;
        entry.holds_key = false;
        self.set_timer(id, retry_at, Timer::RetryKeyOwner(id));
    }

    /// Tries again to find the owner of the key of a call.
    pub(crate) fn retry_key_owner(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.timer = None;
        if entry.state == State::AwaitingKeyOwner {
            entry.state = State::Sent;
            self.begin_key(now, id, out);
        }
    }
}
