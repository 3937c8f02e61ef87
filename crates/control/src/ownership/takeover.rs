//! Checks a session before its keys and cells are taken over, by challenges in its
//! session row.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Time;

use super::Settings;
use super::machine::{Context, Machine, Op, Purpose};
use crate::agent::{Decision, Outbox};
use crate::session::{self, Row, key};
use crate::store::{Check, Expected, Priority, Request, Response, RowVersion, Transaction};

/// Progress of the check of one session.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// The session row must be read.
    ReadRow,
    /// The challenge is being written.
    WritingChallenge,
    /// The session answered a challenge and is not checked again before this instant.
    Trusted(Time),
    /// A challenge has been unanswered since `since`.
    ///
    /// After the challenge wait the session can be fenced, provided that its row is
    /// still at `version`.
    Challenged { row: Row, version: RowVersion, since: Time },
    /// The process has ended; the session can be fenced if its row is still at
    /// `version`.
    Gone { row: Row, version: RowVersion },
    /// The session has ended and can no longer write.
    Ended,
}

/// Sessions that are being checked.
#[derive(Debug, Default)]
pub(super) struct Takeovers {
    stages: BTreeMap<session::Name, Stage>,
}

/// Next step in the check of a session.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Action {
    Wait,
    ReadRow,
    /// Take the shards over and fence the session by a write of the given row at the
    /// given version. `None` means that the session has already ended.
    Take(Option<(Row, RowVersion)>),
}

impl Takeovers {
    /// Returns the next step for a session that is suspected or gone.
    pub(super) fn next_action(
        &self,
        now: Time,
        session: &session::Name,
        settings: &Settings,
    ) -> Action {
        match self.stages.get(session) {
            None | Some(Stage::ReadRow) => Action::ReadRow,
            Some(Stage::WritingChallenge) => Action::Wait,
            Some(Stage::Trusted(until)) if now < *until => Action::Wait,
            Some(Stage::Trusted(_)) => Action::ReadRow,
            Some(Stage::Challenged { row, version, since }) => {
                match now.since(*since) >= settings.challenge_wait {
                    true => Action::Take(Some((row.clone(), *version))),
                    false => Action::Wait,
                }
            }
            Some(Stage::Gone { row, version }) => Action::Take(Some((row.clone(), *version))),
            Some(Stage::Ended) => Action::Take(None),
        }
    }

    /// Requires the session row to be read again before the next step.
    ///
    /// Called when a write is sent that fences the session at the version read before.
    pub(super) fn restart(&mut self, session: &session::Name) {
        if let Some(stage) = self.stages.get_mut(session)
            && !matches!(stage, Stage::Trusted(_) | Stage::Ended | Stage::WritingChallenge)
        {
            *stage = Stage::ReadRow;
        }
    }

    pub(super) fn challenge_written(&mut self, session: &session::Name) {
        self.stages.insert(session.clone(), Stage::ReadRow);
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&session::Name) -> bool) {
        self.stages.retain(|session, _| keep(session));
    }

    /// Returns the next instant at which a step becomes due by time alone.
    pub(super) fn next_wake(&self, now: Time, settings: &Settings) -> Option<Time> {
        let due = |stage: &Stage| match stage {
            Stage::Challenged { since, .. } => Some(*since + settings.challenge_wait),
            Stage::Trusted(until) => Some(*until),
            _ => None,
        };
        self.stages.values().filter_map(due).filter(|due| *due > now).min()
    }
}

impl Machine {
    /// Reads the session row of an owner that may have to be replaced.
    pub(super) fn read_session_row(&mut self, session: &session::Name, out: &mut Outbox<'_>) {
        self.op = Op::Reading;
        let request = Request::Row { key: key(&session.instance) };
        out.store(Priority::Ownership, Purpose::ReadSession(session.clone()), request);
    }

    pub(super) fn handle_session_row(
        &mut self,
        session: &session::Name,
        response: Response,
        context: &mut Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        self.op = Op::Idle;
        let stage = match response {
            Response::Row(None) => Stage::Ended,
            Response::Row(Some(row)) => match Row::decode(&row.value) {
                Ok(decoded) => self.assess(session, decoded, row.version, context, out),
                Err(error) => {
                    out.log(Decision::Corrupt { key: row.key, error });
                    Stage::Trusted(context.now + self.settings.challenge_trust)
                }
            },
            _ => Stage::ReadRow,
        };
        self.takeovers.stages.insert(session.clone(), stage);
    }

    fn assess(
        &mut self,
        session: &session::Name,
        row: Row,
        version: RowVersion,
        context: &mut Context<'_>,
        out: &mut Outbox<'_>,
    ) -> Stage {
        let now = context.now;
        if row.incarnation != session.incarnation || row.fenced_by.is_some() {
            return Stage::Ended;
        }
        if context.members.evidence(session).is_some() {
            return Stage::Gone { row, version };
        }
        if row.challenge > row.answer {
            return self.challenge_pending(session, row, version, now);
        }
        match self.takeovers.stages.get(session) {
            // The session has answered the challenge, so it is alive although peers miss
            // its heartbeats.
            Some(Stage::ReadRow) if row.challenge > 0 => {
                Stage::Trusted(now + self.settings.challenge_trust)
            }
            _ => {
                self.challenge(session, &row, version, context.guard.as_ref(), out);
                Stage::WritingChallenge
            }
        }
    }

    fn challenge_pending(
        &self,
        session: &session::Name,
        row: Row,
        version: RowVersion,
        now: Time,
    ) -> Stage {
        let since = match self.takeovers.stages.get(session) {
            Some(Stage::Challenged { version: known, since, .. }) if *known == version => *since,
            _ => now,
        };
        Stage::Challenged { row, version, since }
    }

    /// Writes a challenge into the row of a session.
    fn challenge(
        &mut self,
        session: &session::Name,
        row: &Row,
        version: RowVersion,
        guard: Option<&Check>,
        out: &mut Outbox<'_>,
    ) {
        let Some(guard) = guard else { return };
        let challenged = Row { challenge: row.challenge + 1, ..row.clone() };
        let target = key(&session.instance);
        let transaction = Transaction::default()
            .check(guard.key.clone(), guard.expected)
            .check(target.clone(), Expected::At(version))
            .put(target, challenged.encode());
        out.log(Decision::Challenged { session: session.clone() });
        let purpose = Purpose::Challenge(session.clone());
        out.store(Priority::Ownership, purpose, Request::Transact(transaction));
    }
}
