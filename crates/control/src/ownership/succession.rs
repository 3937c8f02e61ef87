//! What has to be known of an owner before its keys and cells are taken over.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Time;

use super::Settings;
use super::machine::{Context, Machine, Op, Purpose};
use crate::agent::{Decision, Out};
use crate::session::{self, Row, key};
use crate::store::{Check, Expected, Priority, Request, Response, RowVersion, Transaction};

/// How far the succession of one session is.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// The session row has to be read.
    Look,
    /// A challenge is being written.
    Asking,
    /// The session answered and is left alone until then.
    Trusted(Time),
    /// A challenge is unanswered; it may be fenced from then on if its row is unchanged.
    Challenged { row: Row, version: RowVersion, since: Time },
    /// The process is gone; its row can be fenced.
    Gone { row: Row, version: RowVersion },
    /// The session can write no more.
    Ended,
}

/// Successions under way.
#[derive(Debug, Default)]
pub(super) struct Successions {
    stages: BTreeMap<session::Name, Stage>,
}

/// What the next step of a succession is.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Verdict {
    Wait,
    Look,
    /// Take over, and fence the session by this write where it has not ended.
    Take(Option<(Row, RowVersion)>),
}

impl Successions {
    /// Returns what to do next about a session that is suspected or gone.
    pub(super) fn verdict(
        &self,
        now: Time,
        session: &session::Name,
        settings: &Settings,
    ) -> Verdict {
        match self.stages.get(session) {
            None | Some(Stage::Look) => Verdict::Look,
            Some(Stage::Asking) => Verdict::Wait,
            Some(Stage::Trusted(until)) if now < *until => Verdict::Wait,
            Some(Stage::Trusted(_)) => Verdict::Look,
            Some(Stage::Challenged { row, version, since }) => {
                match now.since(*since) >= settings.challenge_wait {
                    true => Verdict::Take(Some((row.clone(), *version))),
                    false => Verdict::Wait,
                }
            }
            Some(Stage::Gone { row, version }) => Verdict::Take(Some((row.clone(), *version))),
            Some(Stage::Ended) => Verdict::Take(None),
        }
    }

    /// Forgets what was read, as a write under it has failed or its time has passed.
    pub(super) fn look_again(&mut self, session: &session::Name) {
        if let Some(stage) = self.stages.get_mut(session)
            && !matches!(stage, Stage::Trusted(_) | Stage::Ended | Stage::Asking)
        {
            *stage = Stage::Look;
        }
    }

    pub(super) fn challenged(&mut self, session: &session::Name) {
        self.stages.insert(session.clone(), Stage::Look);
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&session::Name) -> bool) {
        self.stages.retain(|session, _| keep(session));
    }

    /// Returns the next instant at which a verdict changes by itself.
    pub(super) fn next_after(&self, now: Time, settings: &Settings) -> Option<Time> {
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
    pub(super) fn look(&mut self, session: &session::Name, out: &mut Out<'_>) {
        self.op = Op::Reading;
        let request = Request::Row { key: key(&session.instance) };
        out.store(Priority::Ownership, Purpose::Look(session.clone()), request);
    }

    pub(super) fn looked(
        &mut self,
        session: &session::Name,
        response: Response,
        context: &mut Context<'_>,
        out: &mut Out<'_>,
    ) {
        self.op = Op::Idle;
        let stage = match response {
            Response::Row(None) => Stage::Ended,
            Response::Row(Some(row)) => match Row::decode(&row.value) {
                Ok(decoded) => self.judge(session, decoded, row.version, context, out),
                Err(error) => {
                    out.decide(Decision::Corrupt { key: row.key, error });
                    Stage::Trusted(context.now + self.settings.challenge_trust)
                }
            },
            _ => Stage::Look,
        };
        self.successions.stages.insert(session.clone(), stage);
    }

    fn judge(
        &mut self,
        session: &session::Name,
        row: Row,
        version: RowVersion,
        context: &mut Context<'_>,
        out: &mut Out<'_>,
    ) -> Stage {
        let now = context.now;
        if row.incarnation != session.incarnation || row.fenced_by.is_some() {
            return Stage::Ended;
        }
        if context.members.evidence(session).is_some() {
            return Stage::Gone { row, version };
        }
        if row.challenge > row.answer {
            return self.unanswered(session, row, version, now);
        }
        match self.successions.stages.get(session) {
            // The challenge was answered: the owner lives and only peers miss it.
            Some(Stage::Look) if row.challenge > 0 => {
                Stage::Trusted(now + self.settings.challenge_trust)
            }
            _ => {
                self.challenge(session, &row, version, context.guard.as_ref(), out);
                Stage::Asking
            }
        }
    }

    fn unanswered(
        &self,
        session: &session::Name,
        row: Row,
        version: RowVersion,
        now: Time,
    ) -> Stage {
        let since = match self.successions.stages.get(session) {
            Some(Stage::Challenged { version: known, since, .. }) if *known == version => *since,
            _ => now,
        };
        Stage::Challenged { row, version, since }
    }

    /// Asks in the table whether a session lives.
    fn challenge(
        &mut self,
        session: &session::Name,
        row: &Row,
        version: RowVersion,
        guard: Option<&Check>,
        out: &mut Out<'_>,
    ) {
        let Some(guard) = guard else { return };
        let asked = Row { challenge: row.challenge + 1, ..row.clone() };
        let target = key(&session.instance);
        let transaction = Transaction::default()
            .check(guard.key.clone(), guard.expected)
            .check(target.clone(), Expected::At(version))
            .put(target, asked.encode());
        out.decide(Decision::Challenged { session: session.clone() });
        let purpose = Purpose::Challenge(session.clone());
        out.store(Priority::Ownership, purpose, Request::Transact(transaction));
    }
}
