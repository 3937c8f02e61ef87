//! Keys of the owned shards and how their calls ended.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{CallId, ServiceName};

use super::{End, Key, Record, Settings, Shard};

/// Text of a key together with the service that scopes it.
type ScopedKey = (ServiceName, Bytes);

/// Progress of the first call with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The call is being journaled or is running at this instance.
    Running(CallId),
    /// The call was answered; the daemon holds the answer under this identity.
    Answered(CallId),
    /// The call may have run, and its answer is not stored.
    EndUnknown,
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) digest: u64,
    pub(super) state: State,
    /// Later calls with the key that wait for the first one to end.
    waiters: Vec<CallId>,
    pub(super) expires: Time,
}

/// Status of a key at the arrival of a call with it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum KeyStatus {
    /// The key is new: the record must be durable before the call is sent.
    New(Record),
    /// The first call is in progress, and this call was added to its waiters.
    Running,
    /// The first call was answered.
    Answered(CallId),
    /// The first call ended, and whether it ran is unknown.
    EndUnknown,
    /// The key was used with a different request.
    Reused,
    /// The ledger holds its largest number of keys.
    Full,
}

/// Keys of the shards that an entry instance owns, with the state of their calls.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pub(super) settings: Settings,
    owned: BTreeSet<Shard>,
    pub(super) entries: BTreeMap<ScopedKey, Entry>,
    running: BTreeMap<CallId, ScopedKey>,
    expiries: BTreeSet<(Time, ScopedKey)>,
    /// Answered calls, oldest first; may hold calls whose answer was discarded since.
    answers: VecDeque<CallId>,
    answered: BTreeMap<CallId, ScopedKey>,
}

impl Ledger {
    /// Returns a ledger without shards.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the ledger owns the shard.
    pub fn owns(&self, shard: Shard) -> bool {
        self.owned.contains(&shard)
    }

    /// Adds a shard and restores its keys from the journal of the former owners.
    ///
    /// A key is restored with an unknown end if one of its calls was begun and is not
    /// recorded as not run, regardless of the order of the records. The retention of a
    /// restored key starts again at `now`, as the former owners' clocks are not comparable
    /// with the clock of this process.
    pub fn restore(&mut self, now: Time, shard: Shard, records: Vec<Record>) {
        self.owned.insert(shard);
        let mut begun: BTreeMap<(ScopedKey, CallId), i64> = BTreeMap::new();
        let mut digests: BTreeMap<ScopedKey, (u64, Span)> = BTreeMap::new();
        for record in records {
            match record {
                Record::Begun { call, service, key, retention } => {
                    let scoped_key = (service, key.text);
                    digests.insert(scoped_key.clone(), (key.digest, retention));
                    *begun.entry((scoped_key, call)).or_default() += 1;
                }
                Record::Ended { call, service, key, end: End::NotRun } => {
                    *begun.entry(((service, key.text), call)).or_default() -= 1;
                }
                Record::Ended { .. } => {}
            }
        }
        for ((scoped_key, _), _) in begun.into_iter().filter(|(_, calls)| *calls > 0) {
            let Some((digest, retention)) = digests.remove(&scoped_key) else { continue };
            if !self.entries.contains_key(&scoped_key) {
                self.insert(scoped_key, digest, State::EndUnknown, now + retention);
            }
        }
    }

    fn insert(&mut self, scoped_key: ScopedKey, digest: u64, state: State, expires: Time) {
        self.expiries.insert((expires, scoped_key.clone()));
        let entry = Entry { digest, state, waiters: Vec::new(), expires };
        self.entries.insert(scoped_key, entry);
    }

    fn remove(&mut self, scoped_key: &ScopedKey) -> Option<Entry> {
        let entry = self.entries.remove(scoped_key)?;
        self.expiries.remove(&(entry.expires, scoped_key.clone()));
        Some(entry)
    }

    /// Removes a shard; returns the calls whose stored answers may be dropped.
    ///
    /// Calls in progress continue, but the ledger no longer records their end.
    pub fn release(&mut self, shard: Shard) -> Vec<CallId> {
        if !self.owned.remove(&shard) {
            return Vec::new();
        }
        let shards = self.settings.shards;
        let of_shard = |text: &Bytes| Key { text: text.clone(), digest: 0 }.shard(shards) == shard;
        let scoped_keys: Vec<ScopedKey> =
            self.entries.keys().filter(|(_, text)| of_shard(text)).cloned().collect();
        scoped_keys.iter().filter_map(|scoped_key| self.discard(scoped_key)).collect()
    }

    /// Removes a key; returns the call whose stored answer may be dropped.
    fn discard(&mut self, scoped_key: &ScopedKey) -> Option<CallId> {
        match self.remove(scoped_key)?.state {
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

    /// Returns whether the ledger holds a key for this call, which has not ended.
    pub(crate) fn is_running(&self, call: CallId) -> bool {
        self.running.contains_key(&call)
    }

    /// Looks up the key of a call and adds the key if it is new.
    pub(crate) fn begin(
        &mut self,
        now: Time,
        call: CallId,
        service: &ServiceName,
        key: &Key,
        retention: Span,
    ) -> KeyStatus {
        let scoped_key = (service.clone(), key.text.clone());
        if let Some(entry) = self.entries.get_mut(&scoped_key) {
            return Self::begin_repeat(entry, call, key);
        }
        if self.entries.len() >= self.settings.max_keys {
            return KeyStatus::Full;
        }
        self.running.insert(call, scoped_key.clone());
        self.insert(scoped_key, key.digest, State::Running(call), now + retention);
        KeyStatus::New(Record::Begun {
            call,
            service: service.clone(),
            key: key.clone(),
            retention,
        })
    }

    fn begin_repeat(entry: &mut Entry, call: CallId, key: &Key) -> KeyStatus {
        if entry.digest != key.digest {
            return KeyStatus::Reused;
        }
        match entry.state {
            State::Running(_) => {
                entry.waiters.push(call);
                KeyStatus::Running
            }
            State::Answered(first) => KeyStatus::Answered(first),
            State::EndUnknown => KeyStatus::EndUnknown,
        }
    }

    /// Records how a call ended.
    ///
    /// Returns the record to append and the calls that waited for this one, or `None` if
    /// the ledger holds no key for the call.
    pub(crate) fn end(&mut self, call: CallId, end: End) -> Option<(Record, Vec<CallId>)> {
        let scoped_key = self.running.remove(&call)?;
        let entry = self.entries.get_mut(&scoped_key)?;
        let waiters = std::mem::take(&mut entry.waiters);
        let key = Key { text: scoped_key.1.clone(), digest: entry.digest };
        let service = scoped_key.0.clone();
        match end {
            End::Answered => {
                entry.state = State::Answered(call);
                self.answers.push_back(call);
                self.answered.insert(call, scoped_key);
            }
            End::NotRun => drop(self.remove(&scoped_key)),
            End::Unknown => entry.state = State::EndUnknown,
        }
        Some((Record::Ended { call, service, key, end }, waiters))
    }

    /// Evicts the oldest answer if there are more than the limit; returns its call.
    pub(crate) fn evict_answer(&mut self) -> Option<CallId> {
        while self.answers.len() > self.settings.max_answers {
            let call = self.answers.pop_front()?;
            let Some(scoped_key) = self.answered.remove(&call) else { continue };
            if let Some(entry) = self.entries.get_mut(&scoped_key) {
                entry.state = State::EndUnknown;
            }
            return Some(call);
        }
        None
    }

    /// Removes one key whose retention has passed.
    ///
    /// Returns `None` if there is none, otherwise the call whose stored answer may be
    /// dropped, if any. The key of a call in progress is kept longer instead.
    pub(crate) fn expire(&mut self, now: Time) -> Option<Option<CallId>> {
        let (expires, scoped_key) = self.expiries.first()?.clone();
        if expires > now {
            return None;
        }
        let running = matches!(self.entries.get(&scoped_key)?.state, State::Running(_));
        if running {
            self.extend(scoped_key, now);
            return Some(None);
        }
        Some(self.discard(&scoped_key))
    }

    /// Extends the retention of the key of a call in progress.
    fn extend(&mut self, scoped_key: ScopedKey, now: Time) {
        let Some(entry) = self.entries.get_mut(&scoped_key) else { return };
        self.expiries.remove(&(entry.expires, scoped_key.clone()));
        entry.expires = now + Span::from_secs(1);
        self.expiries.insert((entry.expires, scoped_key));
    }

    /// Returns the time at which the next key expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.expiries.first().map(|(expires, _)| *expires)
    }
}
