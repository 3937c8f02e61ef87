//! Calls whose key has no owner that can be reached just now.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::CallId;

use super::entry::State;
use super::wake::Timer;
use super::{Command, Outcome, Reason, Router};

/// Time after which the owner of a key is looked for again.
const RETRY: Span = Span::from_ms(25);

impl Router {
    /// Keeps a call that was sent nowhere until its key has an owner again.
    ///
    /// A shard of keys is without an owner for the short time of a hand-over, and
    /// for that of a takeover after a crash. Instances hear of it at different times,
    /// so a call may also come to one that is about to own the shard.
    pub(crate) fn seek(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        let again = now + RETRY;
        if again >= entry.call.deadline {
            return self.finish(id, Outcome::Unknown(Reason::NoKeyOwner), out);
        }
        entry.state = State::Seeking;
        entry.keyed = false;
        self.set_timer(id, again, Timer::Seek(id));
    }

    /// Looks for the owner of the key of a call again.
    pub(crate) fn seek_again(&mut self, now: Time, id: CallId, out: &mut Vec<Command>) {
        let Some(entry) = self.calls.get_mut(&id) else { return };
        entry.timer = None;
        if entry.state == State::Seeking {
            entry.state = State::Sent;
            self.begin_key(now, id, out);
        }
    }
}
