//! Acceptance of a configuration: reads the current row, stores the object and updates
//! the row conditionally.

use std::collections::BTreeSet;

use bytes::Bytes;
use sycamorerill_core::clock::Time;
use sycamorerill_core::id::Version;

use super::content::difference;
use super::machine::{Context, Machine, Purpose};
use super::{Accepted, Apply, ApplyId, CURRENT, Content, Digests, Outcome, Row, object};
use crate::agent::{self, Decision, Outbox};
use crate::codec;
use crate::store::{Expected, Key, Priority, Request, Response, State, Transaction};

/// Acceptance in progress.
#[derive(Debug)]
pub(super) struct Acceptance {
    request: Apply,
    pub(super) deadline: Time,
    content: Content,
    encoded: Bytes,
    expected: Expected,
    /// Whether the row may have been written.
    row_sent: bool,
    object_stored: bool,
    row: Row,
    base_digests: Option<Digests>,
}

impl Machine {
    /// Starts the acceptance of a configuration submitted by an operator.
    pub(crate) fn apply(&mut self, apply: Apply, context: &Context<'_>, out: &mut Outbox<'_>) {
        let id = apply.id;
        if context.store == State::Down {
            return self.finish(id, Outcome::StoreDown, out);
        }
        let content = Content {
            version: Version(apply.base_version.0 + 1),
            author: apply.author.clone(),
            digests: apply.digests.clone(),
            bytes: apply.bytes.clone(),
        };
        let encoded = content.encode();
        let acceptance = Acceptance {
            deadline: context.now + self.settings.apply_limit,
            request: apply,
            content,
            encoded,
            expected: Expected::Absent,
            row_sent: false,
            object_stored: false,
            row: Row::default(),
            base_digests: None,
        };
        self.applies.insert(id, acceptance);
        read_row(id, out);
    }

    /// Ends the acceptances that have passed their deadlines.
    pub(super) fn tick_applies(&mut self, now: Time, out: &mut Outbox<'_>) {
        let expired: Vec<(ApplyId, bool)> = (self.applies.iter())
            .filter(|(_, acceptance)| now >= acceptance.deadline)
            .map(|(id, acceptance)| (*id, acceptance.row_sent))
            .collect();
        for (id, row_sent) in expired {
            let is_write = |purpose: &agent::Purpose| matches!(purpose, agent::Purpose::Config(Purpose::WriteRow(of)) if *of == id);
            out.cancel(is_write);
            let outcome = if row_sent { Outcome::Unknown } else { Outcome::StoreDown };
            self.finish(id, outcome, out);
        }
    }

    pub(super) fn handle_apply(
        &mut self,
        id: ApplyId,
        purpose: &Purpose,
        response: Response,
        context: &Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        if !self.applies.contains_key(&id) {
            return;
        }
        match (purpose, response) {
            (Purpose::ReadRow(_), Response::Row(row)) => self.handle_row(id, row, context, out),
            (Purpose::PutObject(_), Response::Stored) => self.store_version(id, out),
            (Purpose::WriteRow(_), Response::Committed(_)) => {
                self.finish_accepted(id, context, out)
            }
            (Purpose::ReadBase(_), Response::Object(object)) => self.handle_base(id, object, out),
            (Purpose::ReadCurrent(_), Response::Object(object)) => {
                self.handle_current(id, object, out)
            }
            // After a lost response or a conflict the row shows whether the version was
            // accepted.
            _ => read_row(id, out),
        }
    }

    fn handle_row(
        &mut self,
        id: ApplyId,
        found: Option<crate::store::Row>,
        context: &Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        let (row, expected) = match found {
            None => (Row::default(), Expected::Absent),
            Some(found) => match Row::decode(&found.value) {
                Ok(row) => (row, Expected::At(found.version)),
                Err(error) => {
                    out.log(Decision::Corrupt { key: found.key, error });
                    return self.finish(id, Outcome::StoreDown, out);
                }
            },
        };
        self.observe_version(row.version());
        let Some(acceptance) = self.applies.get_mut(&id) else { return };
        if row.accepted(id).is_some() {
            return self.finish_accepted(id, context, out);
        }
        let base_version = acceptance.request.base_version;
        acceptance.row = row;
        acceptance.expected = expected;
        if acceptance.row.version() == base_version {
            return self.store_version(id, out);
        }
        match acceptance.row.object(base_version).cloned() {
            Some(key) => {
                out.store(Priority::Config, Purpose::ReadBase(id), Request::GetObject { key });
            }
            None => self.handle_base(id, None, out),
        }
    }

    /// Stores the object, or updates the row if the object is stored.
    fn store_version(&mut self, id: ApplyId, out: &mut Outbox<'_>) {
        let Some(acceptance) = self.applies.get_mut(&id) else { return };
        let key = object(acceptance.content.version, id);
        if !acceptance.object_stored {
            acceptance.object_stored = true;
            let request = Request::PutObject { key, bytes: acceptance.encoded.clone() };
            return out.store(Priority::Config, Purpose::PutObject(id), request);
        }
        let version = acceptance.content.version;
        let checksum = codec::checksum(&acceptance.encoded);
        let (row, _) = acceptance.row.accept(Accepted { version, id, object: key }, checksum);
        let current = Key::new(CURRENT);
        let transaction = Transaction::default()
            .check(current.clone(), acceptance.expected)
            .put(current, row.encode());
        acceptance.row_sent = true;
        out.store(Priority::Config, Purpose::WriteRow(id), Request::Transact(transaction));
    }

    fn finish_accepted(&mut self, id: ApplyId, context: &Context<'_>, out: &mut Outbox<'_>) {
        let Some(acceptance) = self.applies.remove(&id) else { return };
        let version = acceptance.content.version;
        let accepted = Accepted { version, id, object: object(version, id) };
        if let (_, Some(dropped)) = acceptance.row.accept(accepted, 0) {
            let request = Request::DeleteObject { key: dropped.object };
            out.store(Priority::Snapshots, Purpose::Delete, request);
        }
        self.finish(id, Outcome::Accepted(version), out);
        self.put_in_force(acceptance.content, acceptance.encoded, context, out);
    }

    /// Processes the version that the submission is based on, or `None` if it is no longer
    /// stored.
    fn handle_base(&mut self, id: ApplyId, object: Option<Bytes>, out: &mut Outbox<'_>) {
        let in_force =
            self.content.as_ref().map(|content| (content.version, content.digests.clone()));
        let Some(acceptance) = self.applies.get_mut(&id) else { return };
        let decoded = object.and_then(|bytes| Content::decode(&bytes).ok());
        acceptance.base_digests = decoded.map(|content| content.digests);
        let current = acceptance.row.version();
        if let Some((version, digests)) = in_force
            && version == current
        {
            return self.finish_conflict(id, &digests, out);
        }
        match acceptance.row.object(current).cloned() {
            Some(key) => {
                out.store(Priority::Config, Purpose::ReadCurrent(id), Request::GetObject { key });
            }
            None => self.finish_conflict(id, &Digests::new(), out),
        }
    }

    fn handle_current(&mut self, id: ApplyId, object: Option<Bytes>, out: &mut Outbox<'_>) {
        let content = object.and_then(|bytes| Content::decode(&bytes).ok());
        self.finish_conflict(id, &content.map(|content| content.digests).unwrap_or_default(), out);
    }

    fn finish_conflict(&mut self, id: ApplyId, current: &Digests, out: &mut Outbox<'_>) {
        let Some(acceptance) = self.applies.get(&id) else { return };
        // If the version that the submission is based on is no longer stored, the submitted
        // configuration is compared instead.
        let base_digests = acceptance.base_digests.as_ref().unwrap_or(&acceptance.request.digests);
        let keys: BTreeSet<String> = match acceptance.request.base_version {
            Version(0) => current.keys().cloned().collect(),
            _ => difference(base_digests, current),
        };
        let outcome = Outcome::Conflict { current: acceptance.row.version(), keys };
        self.finish(id, outcome, out);
    }
}

fn read_row(id: ApplyId, out: &mut Outbox<'_>) {
    out.store(Priority::Config, Purpose::ReadRow(id), Request::Row { key: Key::new(CURRENT) });
}
