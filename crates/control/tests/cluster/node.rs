//! Simulated instance: an agent and the payloads of each shard.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use sycamorerill_control::agent::{Agent, Command, Event, Settings};
use sycamorerill_control::journal::{AppendError, Durability, Kind, Sequence};
use sycamorerill_control::ownership::{Gained, Shard};
use sycamorerill_control::penalties::Misses;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Epoch, Version};

/// Simulated instance.
pub struct Node {
    pub agent: Agent,
    pub generation: u64,
    pub alive: bool,
    pub draining: bool,
    pub paused_until: Time,
    pub wake: Time,
    /// Served shards, with their epochs and payloads.
    pub serving: BTreeMap<Shard, (Epoch, Vec<u64>)>,
    /// Records that are not known to be durable.
    pub waiting: BTreeMap<Sequence, (Shard, u64)>,
    /// Durable payloads with their shards.
    pub durable: Vec<(Shard, u64)>,
    pub version: Version,
    pub versions: Vec<(Time, Version, Bytes)>,
    pub carried: Misses,
    pub gained: Vec<(Time, Gained)>,
    pub violations: Vec<String>,
    /// Times from the append of a record until it was durable.
    pub commit_latencies: Vec<Span>,
    appended: BTreeMap<Sequence, Time>,
}

impl Node {
    pub fn new(settings: Settings, generation: u64, carried: Misses) -> Self {
        let mut agent = Agent::new(settings);
        for miss in carried.into_values() {
            agent.add_miss(miss).expect("room for misses");
        }
        Self {
            agent,
            generation,
            alive: true,
            draining: false,
            paused_until: Time::ZERO,
            wake: Time::ZERO,
            serving: BTreeMap::new(),
            waiting: BTreeMap::new(),
            durable: Vec::new(),
            version: Version::default(),
            versions: Vec::new(),
            carried: Misses::new(),
            gained: Vec::new(),
            violations: Vec::new(),
            commit_latencies: Vec::new(),
            appended: BTreeMap::new(),
        }
    }

    /// Appends a payload to a shard.
    pub fn append(
        &mut self,
        now: Time,
        shard: Shard,
        payload: u64,
        durability: Durability,
    ) -> Result<(), AppendError> {
        let bytes = Bytes::copy_from_slice(&payload.to_be_bytes());
        let sequence = self.agent.append(now, shard, Kind(1), bytes, durability)?;
        self.waiting.insert(sequence, (shard, payload));
        self.appended.insert(sequence, now);
        if let Some((_, held)) = self.serving.get_mut(&shard) {
            held.push(payload);
        }
        Ok(())
    }

    /// Keeps the misses that are not durable for the next process.
    pub fn fence(&mut self) {
        self.carried = self.agent.pending_misses();
    }

    /// Executes a command and returns the event that it results in, if any.
    pub fn command(&mut self, now: Time, command: Command) -> Option<Event> {
        match command {
            Command::StartServing(gained) => self.gain(now, gained),
            Command::StopServing { shard } => _ = self.serving.remove(&shard),
            Command::Release { shard, .. } => {
                self.serving.remove(&shard);
                return Some(Event::ShardReleased {
                    shard,
                    handover_state: Bytes::from_static(b"carry"),
                });
            }
            Command::RecordsDurable { up_to } => {
                let later = self.appended.split_off(&Sequence(up_to.0 + 1));
                let durable = std::mem::replace(&mut self.appended, later);
                self.commit_latencies.extend(durable.into_values().map(|at| now.since(at)));
                let rest = self.waiting.split_off(&Sequence(up_to.0 + 1));
                self.durable.extend(std::mem::replace(&mut self.waiting, rest).into_values());
            }
            Command::RecordsWithdrawn { sequences } => {
                for sequence in sequences {
                    let Some((shard, payload)) = self.waiting.remove(&sequence) else { continue };
                    if let Some((_, held)) = self.serving.get_mut(&shard) {
                        held.retain(|held_payload| *held_payload != payload);
                    }
                }
            }
            Command::TakeSnapshot { shard } => {
                let (_, held) = self.serving.get(&shard)?;
                let bytes: Vec<u8> =
                    held.iter().flat_map(|payload| payload.to_be_bytes()).collect();
                return Some(Event::Snapshot { shard, bytes: bytes.into() });
            }
            Command::ActivateConfig(config) => {
                if config.version <= self.version {
                    self.violations.push(format!(
                        "version {} put in force after {}",
                        config.version, self.version
                    ));
                }
                self.version = config.version;
                self.versions.push((now, config.version, config.bytes));
            }
            _ => {}
        }
        None
    }

    fn gain(&mut self, now: Time, gained: Gained) {
        let mut held: Vec<u64> = Vec::new();
        if let Some(snapshot) = &gained.recovered.snapshot {
            held.extend(
                snapshot.chunks(8).map(|chunk| u64::from_be_bytes(chunk.try_into().unwrap())),
            );
        }
        for record in &gained.recovered.records {
            held.push(u64::from_be_bytes(record.bytes[..].try_into().unwrap()));
        }
        let distinct: BTreeSet<u64> = held.iter().copied().collect();
        if distinct.len() != held.len() {
            self.violations.push(format!("{} was recovered with duplicate records", gained.shard));
        }
        self.serving.insert(gained.shard, (gained.epoch, held));
        self.gained.push((now, gained));
    }
}
