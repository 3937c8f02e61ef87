//! Acceptance of a new version: look, store the object, write the row on a condition.

use std::collections::BTreeSet;

use bytes::Bytes;
use sycamorerill_core::clock::Time;
use sycamorerill_core::id::Version;

use super::content::difference;
use super::machine::{Context, Machine, Purpose};
use super::{Accepted, Apply, ApplyId, CURRENT, Content, Digests, Outcome, Row, object};
use crate::agent::{self, Decision, Out};
use crate::codec;
use crate::store::{Expected, Key, Priority, Request, Response, State, Transaction};

/// An acceptance under way.
#[derive(Debug)]
pub(super) struct Acceptance {
    apply: Apply,
    pub(super) deadline: Time,
    content: Content,
    sealed: Bytes,
    expected: Expected,
    /// Whether the row may have been written.
    sent: bool,
    stored: bool,
    row: Row,
    seen: Option<Digests>,
}

impl Machine {
    /// Takes a configuration that an operator wants accepted.
    pub(crate) fn apply(&mut self, apply: Apply, context: &Context<'_>, out: &mut Out<'_>) {
        let id = apply.id;
        if context.store == State::Down {
            return self.finish(id, Outcome::StoreDown, out);
        }
        let content = Content {
            version: Version(apply.seen.0 + 1),
            author: apply.author.clone(),
            keys: apply.keys.clone(),
            bytes: apply.bytes.clone(),
        };
        let sealed = content.encode();
        let acceptance = Acceptance {
            deadline: context.now + self.settings.apply_limit,
            apply,
            content,
            sealed,
            expected: Expected::Absent,
            sent: false,
            stored: false,
            row: Row::default(),
            seen: None,
        };
        self.applies.insert(id, acceptance);
        look(id, out);
    }

    /// Gives up the acceptances that have taken too long.
    pub(super) fn tick_applies(&mut self, now: Time, out: &mut Out<'_>) {
        let late: Vec<(ApplyId, bool)> = (self.applies.iter())
            .filter(|(_, apply)| now >= apply.deadline)
            .map(|(id, apply)| (*id, apply.sent))
            .collect();
        for (id, sent) in late {
            let of_this = |purpose: &agent::Purpose| matches!(purpose, agent::Purpose::Config(Purpose::Accept(of)) if *of == id);
            out.withdraw(of_this);
            let outcome = if sent { Outcome::Unknown } else { Outcome::StoreDown };
            self.finish(id, outcome, out);
        }
    }

    pub(super) fn answer(
        &mut self,
        id: ApplyId,
        purpose: &Purpose,
        response: Response,
        context: &Context<'_>,
        out: &mut Out<'_>,
    ) {
        if !self.applies.contains_key(&id) {
            return;
        }
        match (purpose, response) {
            (Purpose::Look(_), Response::Row(row)) => self.looked(id, row, context, out),
            (Purpose::Put(_), Response::Stored) => self.put(id, out),
            (Purpose::Accept(_), Response::Committed(_)) => self.accepted(id, context, out),
            (Purpose::Seen(_), Response::Object(object)) => self.saw(id, object, out),
            (Purpose::Current(_), Response::Object(object)) => self.compare(id, object, out),
            // A lost answer or a conflict: the row tells what happened.
            _ => look(id, out),
        }
    }

    fn looked(
        &mut self,
        id: ApplyId,
        found: Option<crate::store::Row>,
        context: &Context<'_>,
        out: &mut Out<'_>,
    ) {
        let (row, expected) = match found {
            None => (Row::default(), Expected::Absent),
            Some(found) => match Row::decode(&found.value) {
                Ok(row) => (row, Expected::At(found.version)),
                Err(error) => {
                    out.decide(Decision::Corrupt { key: found.key, error });
                    return self.finish(id, Outcome::StoreDown, out);
                }
            },
        };
        self.heard(row.version());
        let Some(apply) = self.applies.get_mut(&id) else { return };
        if row.accepted(id).is_some() {
            return self.accepted(id, context, out);
        }
        let seen = apply.apply.seen;
        apply.row = row;
        apply.expected = expected;
        if apply.row.version() == seen {
            return self.put(id, out);
        }
        match apply.row.object(seen).cloned() {
            Some(key) => {
                out.store(Priority::Config, Purpose::Seen(id), Request::GetObject { key });
            }
            None => self.saw(id, None, out),
        }
    }

    /// Stores the object, or writes the row once the object is stored.
    fn put(&mut self, id: ApplyId, out: &mut Out<'_>) {
        let Some(apply) = self.applies.get_mut(&id) else { return };
        let key = object(apply.content.version, id);
        if !apply.stored {
            apply.stored = true;
            let request = Request::PutObject { key, bytes: apply.sealed.clone() };
            return out.store(Priority::Config, Purpose::Put(id), request);
        }
        let version = apply.content.version;
        let checksum = codec::checksum(&apply.sealed);
        let (row, _) = apply.row.accept(Accepted { version, id, object: key }, checksum);
        let current = Key::new(CURRENT);
        let transaction = Transaction::default()
            .check(current.clone(), apply.expected)
            .put(current, row.encode());
        apply.sent = true;
        out.store(Priority::Config, Purpose::Accept(id), Request::Transact(transaction));
    }

    fn accepted(&mut self, id: ApplyId, context: &Context<'_>, out: &mut Out<'_>) {
        let Some(apply) = self.applies.remove(&id) else { return };
        let version = apply.content.version;
        let accepted = Accepted { version, id, object: object(version, id) };
        if let (_, Some(forgotten)) = apply.row.accept(accepted, 0) {
            let request = Request::DeleteObject { key: forgotten.object };
            out.store(Priority::Snapshots, Purpose::Forget, request);
        }
        self.finish(id, Outcome::Accepted(version), out);
        self.enforce(apply.content, apply.sealed, context, out);
    }

    /// Takes the version that the operator had seen, where it is still kept.
    fn saw(&mut self, id: ApplyId, object: Option<Bytes>, out: &mut Out<'_>) {
        let in_force = self.content.as_ref().map(|content| (content.version, content.keys.clone()));
        let Some(apply) = self.applies.get_mut(&id) else { return };
        let decoded = object.and_then(|bytes| Content::decode(&bytes).ok());
        apply.seen = decoded.map(|content| content.keys);
        let current = apply.row.version();
        if let Some((version, keys)) = in_force
            && version == current
        {
            return self.conflict(id, &keys, out);
        }
        match apply.row.object(current).cloned() {
            Some(key) => {
                out.store(Priority::Config, Purpose::Current(id), Request::GetObject { key });
            }
            None => self.conflict(id, &Digests::new(), out),
        }
    }

    fn compare(&mut self, id: ApplyId, object: Option<Bytes>, out: &mut Out<'_>) {
        let content = object.and_then(|bytes| Content::decode(&bytes).ok());
        self.conflict(id, &content.map(|content| content.keys).unwrap_or_default(), out);
    }

    fn conflict(&mut self, id: ApplyId, current: &Digests, out: &mut Out<'_>) {
        let Some(apply) = self.applies.get(&id) else { return };
        // Where the version seen is no longer kept, the operator's own stands for it.
        let seen = apply.seen.as_ref().unwrap_or(&apply.apply.keys);
        let keys: BTreeSet<String> = match apply.apply.seen {
            Version(0) => current.keys().cloned().collect(),
            _ => difference(seen, current),
        };
        let outcome = Outcome::Conflict { current: apply.row.version(), keys };
        self.finish(id, outcome, out);
    }
}

fn look(id: ApplyId, out: &mut Out<'_>) {
    out.store(Priority::Config, Purpose::Look(id), Request::Row { key: Key::new(CURRENT) });
}
