//! Collects the store requests, messages and commands that the state machines emit.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::InstanceName;

use super::{Body, Command, Decision, Message, Purpose};
use crate::session;
use crate::store::{Budget, Priority, Request, RequestQueue, State};

/// Outputs of one event.
pub(crate) struct Outbox<'a> {
    pub(super) queue: &'a mut RequestQueue<Purpose>,
    pub(super) commands: &'a mut Vec<Command>,
    pub(super) session: session::Name,
}

impl Outbox<'_> {
    /// Queues a store request.
    pub(crate) fn store(
        &mut self,
        priority: Priority,
        purpose: impl Into<Purpose>,
        request: Request,
    ) {
        self.queue.push(priority, purpose.into(), request);
    }

    /// Returns the state of the store.
    pub(crate) fn state(&self, now: Time) -> State {
        self.queue.state(now)
    }

    /// Sets the store rate limits for the current number of instances.
    pub(crate) fn set_budget(
        &mut self,
        now: Time,
        budget: &Budget,
        writers: usize,
        readers: usize,
    ) {
        self.queue.set_budget(now, budget, writers, readers);
    }

    /// Removes the matching store requests that have not been sent.
    pub(crate) fn cancel(&mut self, matches: impl Fn(&Purpose) -> bool) {
        self.queue.cancel(matches);
    }

    /// Sends a message to a peer.
    pub(crate) fn send(&mut self, to: InstanceName, body: Body) {
        let message = Message { incarnation: self.session.incarnation, body };
        self.emit(Command::Send { to, message: message.encode() });
    }

    /// Emits a command.
    pub(crate) fn emit(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Reports a decision in the log.
    pub(crate) fn log(&mut self, decision: Decision) {
        self.emit(Command::Decision(decision));
    }

    /// Returns the session of this instance.
    pub(crate) const fn session(&self) -> &session::Name {
        &self.session
    }
}
