//! The keys of the owned shards and how their calls ended.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{CallId, ServiceName};

use super::{End, Key, Record, Settings, Shard};

/// Key with the service in which it counts.
type Name = (ServiceName, Bytes);

/// How far the first call with a key has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The call is being journaled or is running here.
    Running(CallId),
    /// The answer is kept by the daemon under the call's identity.
    Answered(CallId),
    /// The call may have run and its answer is not kept.
    EndUnknown,
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) digest: u64,
    pub(super) state: State,
    followers: Vec<CallId>,
    pub(super) expires: Time,
}

/// What the ledger knows of a key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Found {
    /// The key is new: the record has to last before the call is sent.
    New(Record),
    /// The first call is in progress, and the call is told of its end.
    Running,
    /// The first call was answered.
    Answered(CallId),
    /// The first call came to an end that is not known.
    EndUnknown,
    /// The key was used with another request.
    Reused,
    /// No room for another key.
    Full,
}

/// Keys of the shards that an entry instance owns.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pub(super) settings: Settings,
    owned: BTreeSet<Shard>,
    pub(super) entries: BTreeMap<Name, Entry>,
    running: BTreeMap<CallId, Name>,
    expiries: BTreeSet<(Time, Name)>,
    answers: VecDeque<CallId>,
    answered: BTreeMap<CallId, Name>,
}

impl Ledger {
    /// Returns a ledger that owns no shard.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns the number of keys that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Reports whether the shard is owned here.
    pub fn owns(&self, shard: Shard) -> bool {
        self.owned.contains(&shard)
    }

    /// Takes over a shard with the journal of its former owners.
    ///
    /// A key is restored as unknown if one of its calls was begun and is not recorded as
    /// not run, in whatever order the records are. The retention of a restored key starts
    /// anew, as the journal has no clock that this process shares.
    pub fn restore(&mut self, now: Time, shard: Shard, records: Vec<Record>) {
        self.owned.insert(shard);
        let mut begun: BTreeMap<(Name, CallId), i64> = BTreeMap::new();
        let mut kept: BTreeMap<Name, (u64, Span)> = BTreeMap::new();
        for record in records {
            match record {
                Record::Begun { call, service, key, retention } => {
                    let name = (service, key.text);
                    kept.insert(name.clone(), (key.digest, retention));
                    *begun.entry((name, call)).or_default() += 1;
                }
                Record::Ended { call, service, key, end: End::NotRun } => {
                    *begun.entry(((service, key.text), call)).or_default() -= 1;
                }
                Record::Ended { .. } => {}
            }
        }
        for ((name, _), _) in begun.into_iter().filter(|(_, calls)| *calls > 0) {
            let Some((digest, retention)) = kept.remove(&name) else { continue };
            if !self.entries.contains_key(&name) {
                self.insert(name, digest, State::EndUnknown, now + retention);
            }
        }
    }

    fn insert(&mut self, name: Name, digest: u64, state: State, expires: Time) {
        self.expiries.insert((expires, name.clone()));
        let entry = Entry { digest, state, followers: Vec::new(), expires };
        self.entries.insert(name, entry);
    }

    fn remove(&mut self, name: &Name) -> Option<Entry> {
        let entry = self.entries.remove(name)?;
        self.expiries.remove(&(entry.expires, name.clone()));
        Some(entry)
    }

    /// Gives up a shard; returns the calls whose kept answers may be forgotten.
    ///
    /// Calls in progress go on, but their end is not recorded here any more.
    pub fn release(&mut self, shard: Shard) -> Vec<CallId> {
        if !self.owned.remove(&shard) {
            return Vec::new();
        }
        let shards = self.settings.shards;
        let of_shard = |text: &Bytes| Key { text: text.clone(), digest: 0 }.shard(shards) == shard;
        let names: Vec<Name> =
            self.entries.keys().filter(|(_, text)| of_shard(text)).cloned().collect();
        names.iter().filter_map(|name| self.drop_entry(name)).collect()
    }

    /// Removes an entry; returns the call whose kept answer may be forgotten.
    fn drop_entry(&mut self, name: &Name) -> Option<CallId> {
        match self.remove(name)?.state {
            State::Running(call) => {
                self.running.remove(&call);
                None
            }
            State::Answered(call) => {
                self.answered.remove(&call);
                Some(call)
            }
            State::EndUnknown => None,
        }
    }

    /// Reports whether a key is kept for the call, which has not ended.
    pub(crate) fn is_running(&self, call: CallId) -> bool {
        self.running.contains_key(&call)
    }

    /// Looks the key of a call up, and enters it when it is new.
    pub(crate) fn begin(
        &mut self,
        now: Time,
        call: CallId,
        service: &ServiceName,
        key: &Key,
        retention: Span,
    ) -> Found {
        let name = (service.clone(), key.text.clone());
        if let Some(entry) = self.entries.get_mut(&name) {
            return Self::look_at(entry, call, key);
        }
        if self.entries.len() >= self.settings.max_keys {
            return Found::Full;
        }
        self.running.insert(call, name.clone());
        self.insert(name, key.digest, State::Running(call), now + retention);
        Found::New(Record::Begun { call, service: service.clone(), key: key.clone(), retention })
    }

    fn look_at(entry: &mut Entry, call: CallId, key: &Key) -> Found {
        if entry.digest != key.digest {
            return Found::Reused;
        }
        match entry.state {
            State::Running(_) => {
                entry.followers.push(call);
                Found::Running
            }
            State::Answered(first) => Found::Answered(first),
            State::EndUnknown => Found::EndUnknown,
        }
    }

    /// Records how a call ended.
    ///
    /// Returns the record to append and the calls that waited for this end, or
    /// `None` when the key of the call is not kept here.
    pub(crate) fn end(&mut self, call: CallId, end: End) -> Option<(Record, Vec<CallId>)> {
        let name = self.running.remove(&call)?;
        let entry = self.entries.get_mut(&name)?;
        let followers = std::mem::take(&mut entry.followers);
        let key = Key { text: name.1.clone(), digest: entry.digest };
        let service = name.0.clone();
        match end {
            End::Answered => {
                entry.state = State::Answered(call);
                self.answers.push_back(call);
                self.answered.insert(call, name);
            }
            End::NotRun => drop(self.remove(&name)),
            End::Unknown => entry.state = State::EndUnknown,
        }
        Some((Record::Ended { call, service, key, end }, followers))
    }

    /// Returns the call whose kept answer is one too many, oldest first.
    pub(crate) fn surplus_answer(&mut self) -> Option<CallId> {
        while self.answers.len() > self.settings.max_answers {
            let call = self.answers.pop_front()?;
            let Some(name) = self.answered.remove(&call) else { continue };
            if let Some(entry) = self.entries.get_mut(&name) {
                entry.state = State::EndUnknown;
            }
            return Some(call);
        }
        None
    }

    /// Drops one key whose retention has passed; returns whether there was one
    /// and the call whose kept answer may be forgotten.
    pub(crate) fn expire(&mut self, now: Time) -> Option<Option<CallId>> {
        let (expires, name) = self.expiries.first()?.clone();
        if expires > now {
            return None;
        }
        let running = matches!(self.entries.get(&name)?.state, State::Running(_));
        if running {
            self.extend(name, now);
            return Some(None);
        }
        Some(self.drop_entry(&name))
    }

    /// Keeps the key of a call in progress past its retention.
    fn extend(&mut self, name: Name, now: Time) {
        let Some(entry) = self.entries.get_mut(&name) else { return };
        self.expiries.remove(&(entry.expires, name.clone()));
        entry.expires = now + Span::from_secs(1);
        self.expiries.insert((entry.expires, name));
    }

    /// Returns the instant at which the next key expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.expiries.first().map(|(expires, _)| *expires)
    }
}
