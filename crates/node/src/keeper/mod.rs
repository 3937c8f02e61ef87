//! Claims shards, drives them, and gives them up.

mod commit;
mod execute;
mod gather;
mod note;
mod owner;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use stakker::CX;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;
use sycamorerill_jobs::beat::Beat;
use sycamorerill_jobs::config::Config;
use sycamorerill_jobs::id::{InstanceName, ShardId};
use sycamorerill_jobs::shard::{self, Event};
use sycamorerill_jobs::tenure::{self, Burden, Claim, Step, Tenure};

use self::commit::Committed;
use self::gather::Gathered;
use self::owner::Owner;
use crate::follow::{News, Subject};
use crate::front::decode;
use crate::layout::{self, Layout};
use crate::log::{Code, Line};
use crate::metrics::Hop;
use crate::port::{Platform, Row, Table, Version};
use crate::run::{Outside, Signs};
use crate::{clock, run};

pub(crate) use self::gather::agree;

data! {
    /// Settings of the keeper.
    #[derive(Copy, Default)]
    pub struct Settings {
        /// Settings of the claims.
        pub tenure: tenure::Settings,
        /// Settings of each shard.
        pub shard: shard::Settings,
    }
}

/// Pause in which news of claims gather: half of the time between renewals.
const CLAIMS_GATHER: Duration = Duration::from_millis(200);
/// Pause in which news of states gather: a count of waiting jobs may be 2 s old, and a
/// state that is not final is read anew when it is asked for.
const STATES_GATHER: Duration = Duration::from_millis(1_000);
/// Times that the owner of a shard may go on without a confirmation of its claim.
const ORDER_UNCONFIRMED: Span = Span::from_ms(3_000);

/// Time after giving a shard up in which others claim it.
const BARRED: Span = Span::from_ms(2_000);

/// A message to the actor that keeps shards.
pub(crate) enum Message {
    Configured(Arc<Config>),
    Agreed(Layout),
    Claims(News),
    Claimed(ShardId, Time, Result<(Claim, Version), Option<Row>>),
    Seen(ShardId, Option<Row>),
    Gathered(ShardId, u64, Box<Gathered>),
    Rows(ShardId, u64, Table, News),
    Committed(ShardId, u64, Committed),
    Released(ShardId, u64),
    Event(ShardId, u64, Box<Event>),
    Tick,
    Drain,
}

/// A shard as this instance sees it.
struct Place<P: Platform> {
    tenure: Tenure,
    version: Version,
    owner: Option<Owner<P>>,
}

impl<P: Platform> Place<P> {
    /// Reports whether a claim that was written is still the latest known and not yet
    /// acted on. The news of it may come before the answer.
    fn may_start(&self, claim: &Claim) -> bool {
        let latest = self.tenure.claim().is_none_or(|seen| seen.epoch <= claim.epoch);
        latest && self.owner.is_none()
    }

    /// Ends the ownership of the shard, if it is owned.
    fn lose(&mut self, shard: ShardId) {
        if let Some(owner) = self.owner.take() {
            Line::new(Code::Lost).text("shard", shard).number("epoch", owner.epoch()).write();
        }
    }
}

/// The actor that keeps shards.
pub(crate) struct Keeper<P: Platform> {
    outside: Outside<P>,
    name: InstanceName,
    settings: Settings,
    signs: Rc<Signs>,
    started_ms: u64,
    config: Option<Arc<Config>>,
    layout: Option<Layout>,
    shards: BTreeMap<ShardId, Place<P>>,
    draining: bool,
    /// Ticks since a shard is owned.
    beat: Option<Beat>,
    /// No shard is claimed before: this instance has given one up.
    barred: Time,
}

impl<P: Platform> Keeper<P> {
    pub(crate) fn start(
        _cx: CX![],
        outside: Outside<P>,
        name: InstanceName,
        settings: Settings,
        signs: Rc<Signs>,
    ) -> Option<Self> {
        Some(Self {
            outside,
            name,
            settings,
            signs,
            started_ms: clock::wall_ms(),
            config: None,
            layout: None,
            shards: BTreeMap::new(),
            draining: false,
            beat: None,
            barred: Time::ZERO,
        })
    }

    /// Takes a message; what follows from it is decided in the next turn.
    pub(crate) fn take(&mut self, _cx: CX![], message: Message) {
        let now = clock::now();
        match message {
            Message::Configured(config) => self.configure(now, config),
            Message::Agreed(layout) => self.agreed(layout),
            Message::Claims(news) => self.heard_claims(now, news),
            Message::Claimed(shard, sent, outcome) => self.claimed(now, shard, sent, outcome),
            Message::Seen(shard, row) => self.observe(now, shard, row.as_ref()),
            Message::Gathered(shard, epoch, gathered) => {
                if let Some(owner) = self.owner(shard, epoch) {
                    owner.gathered(now, *gathered);
                }
            }
            Message::Rows(shard, epoch, table, news) => {
                if let Some(owner) = self.owner(shard, epoch) {
                    owner.rows(now, table, news);
                }
            }
            Message::Committed(shard, epoch, committed) => {
                self.committed(now, shard, epoch, committed);
            }
            Message::Released(shard, epoch) => self.released(shard, epoch),
            Message::Event(shard, epoch, event) => {
                if let Some(owner) = self.owner(shard, epoch) {
                    owner.event(now, *event);
                }
            }
            Message::Tick => self.tick(now),
            Message::Drain => self.draining = true,
        }
    }

    fn tick(&mut self, now: Time) {
        if self.kept() == 0 {
            self.beat = None;
            return;
        }
        let every = Span::from_ms(run::OWNER_TICK.as_millis() as u64);
        self.beat.get_or_insert_with(|| Beat::new(now, every)).tick(now);
    }

    /// Gives a shard up where this instance does not keep up with it.
    fn yield_if_behind(&mut self, now: Time, shard: ShardId) {
        if !self.beat.as_ref().is_some_and(|beat| beat.is_behind(now)) {
            return;
        }
        let Some(place) = self.shards.get_mut(&shard) else {
            return;
        };
        let claim = place.tenure.yielding(clock::wall_ms());
        if let (Some(owner), Some(claim)) = (&mut place.owner, claim) {
            owner.yielding = Some(claim);
            self.barred = now + BARRED;
        }
    }

    /// Decides what is to be done.
    pub(crate) fn turn(&mut self, _cx: CX![], now: Time) {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in shards {
            self.step(now, shard);
        }
        self.signs.shards.set(self.kept());
        self.outside.metrics.set_shards(self.kept());
    }

    fn kept(&self) -> usize {
        self.shards.values().filter(|place| place.owner.is_some()).count()
    }

    fn step(&mut self, now: Time, shard: ShardId) {
        let kept = self.kept() as u32;
        let Some(place) = self.shards.get_mut(&shard) else {
            return;
        };
        if self.draining {
            let claim = place.tenure.release();
            self.release(shard, claim);
            return;
        }
        if let Some(claim) = place.owner.as_ref().and_then(|owner| owner.yielding.clone()) {
            self.release(shard, claim);
            return;
        }
        let each = self.layout.map_or(0, |layout| layout.each);
        match place.tenure.step(now, Burden { kept, each }) {
            Step::Wait => {}
            Step::Ask => self.ask(shard),
            Step::Claim if self.config.is_some() && now >= self.barred => self.claim(shard),
            Step::Claim => {}
            Step::Renew => {
                if let Some(owner) = &mut place.owner {
                    owner.renew_due = true;
                }
            }
        }
        if let Some(place) = self.shards.get_mut(&shard)
            && let Some(owner) = &mut place.owner
        {
            owner.turn(now, &place.tenure);
            if owner.is_superseded() {
                place.lose(shard);
            }
        }
        self.yield_if_behind(now, shard);
    }

    /// Reads the claim on a shard whose holder has not been heard of.
    fn ask(&mut self, shard: ShardId) {
        let outside = self.outside.clone();
        self.outside.spawner.spawn(async move {
            // Without an answer nothing is known, and it is asked again.
            if let Ok(row) = commit::read_claim(&outside, shard).await {
                outside.tell(run::Message::Keeper(Message::Seen(shard, row)));
            }
        });
    }

    fn claim(&mut self, shard: ShardId) {
        let Some(place) = self.shards.get(&shard) else {
            return;
        };
        let claim = place.tenure.next_claim();
        let version = place.version;
        let outside = self.outside.clone();
        self.outside.spawner.spawn(async move {
            let sent = clock::now();
            let outcome = commit::claim(&outside, shard, claim, version).await;
            let claimed = Message::Claimed(shard, sent, outcome);
            outside.tell(run::Message::Keeper(claimed));
        });
    }

    fn claimed(
        &mut self,
        now: Time,
        shard: ShardId,
        sent: Time,
        outcome: Result<(Claim, Version), Option<Row>>,
    ) {
        let Some(place) = self.shards.get_mut(&shard) else {
            return;
        };
        match outcome {
            Ok((claim, version)) if place.may_start(&claim) => {
                let epoch = claim.epoch;
                Line::new(Code::Gained).text("shard", shard).number("epoch", epoch).write();
                place.tenure.renewed(sent, claim);
                place.version = version;
                let (Some(config), Some(layout)) = (&self.config, self.layout) else {
                    return;
                };
                place.owner = Some(Owner::start(
                    self.outside.clone(),
                    owner::Place { shard, epoch, layout, claimed: version },
                    self.settings.shard,
                    Arc::clone(config),
                ));
            }
            Ok(_) | Err(None) => {}
            Err(Some(row)) => self.observe(now, shard, Some(&row)),
        }
    }

    fn owner(&mut self, shard: ShardId, epoch: u64) -> Option<&mut Owner<P>> {
        let owner = self.shards.get_mut(&shard)?.owner.as_mut()?;
        (owner.epoch() == epoch).then_some(owner)
    }

    fn committed(&mut self, now: Time, shard: ShardId, epoch: u64, committed: Committed) {
        if let Committed::Done { sent, .. } = &committed {
            self.outside.metrics.passed(Hop::Recorded, now.since(*sent));
        }
        let Some(owner) = self.owner(shard, epoch) else {
            return;
        };
        match committed {
            Committed::Done { sent, sequence, claim } => {
                owner.committed(now, sequence);
                let renewed = owner.renewed(claim);
                let Some(place) = self.shards.get_mut(&shard) else {
                    return;
                };
                match renewed {
                    Some((claim, version)) => {
                        place.version = version;
                        place.tenure.renewed(sent, claim);
                    }
                    None => place.tenure.confirm(sent),
                }
            }
            Committed::Lost(row) => self.observe(now, shard, row.as_ref()),
        }
    }

    fn configure(&mut self, now: Time, config: Arc<Config>) {
        for place in self.shards.values_mut() {
            if let Some(owner) = &mut place.owner {
                owner.event(now, Event::Configured(Arc::clone(&config)));
            }
        }
        self.config = Some(config);
    }

    fn agreed(&mut self, layout: Layout) {
        if self.layout.is_some() {
            return;
        }
        self.layout = Some(layout);
        let agreed = crate::front::Message::Agreed(layout);
        self.outside.tell(run::Message::Front(agreed));
        for shard in layout.shards() {
            let rank = fastrand::f64();
            let tenure =
                Tenure::new(self.settings.tenure, self.name.clone(), self.started_ms, rank);
            let place = Place { tenure, version: Version(0), owner: None };
            self.shards.insert(shard, place);
        }
        let claims = subject(layout, Table::Claims, CLAIMS_GATHER);
        let claims =
            self.outside.follow(claims, |news| run::Message::Keeper(Message::Claims(news)));
        claims.detach();
        let states = subject(layout, Table::States, STATES_GATHER);
        let states = self
            .outside
            .follow(states, |news| run::Message::Front(crate::front::Message::States(news)));
        states.detach();
    }

    fn heard_claims(&mut self, now: Time, news: News) {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        match news {
            News::Away => {
                for place in self.shards.values_mut() {
                    place.tenure.store_was_away(now);
                }
            }
            News::Whole(rows) => {
                for shard in shards {
                    let row = rows.iter().find(|row| is_claim(row, shard));
                    self.observe(now, shard, row);
                }
            }
            News::Changed(rows) => {
                for place in self.shards.values_mut() {
                    place.tenure.heard(now);
                }
                for row in rows {
                    let shard = shards.iter().find(|shard| is_claim(&row, **shard));
                    if let Some(shard) = shard {
                        self.observe(now, *shard, Some(&row));
                    }
                }
            }
        }
    }

    /// Takes the claim on a shard as the store holds it.
    fn observe(&mut self, now: Time, shard: ShardId, row: Option<&Row>) {
        let Some(place) = self.shards.get_mut(&shard) else {
            return;
        };
        let version = row.map_or(Version(0), |row| row.version);
        place.tenure.heard(now);
        if version < place.version {
            return;
        }
        let claim: Option<Claim> = row.and_then(decode);
        place.version = version;
        place.tenure.observe(now, claim);
        let epoch = place.owner.as_ref().map(Owner::epoch);
        let mine = place.tenure.is_mine();
        if let Some(epoch) = epoch
            && (!mine || place.tenure.claim().is_some_and(|claim| claim.epoch != epoch))
        {
            place.lose(shard);
        }
    }

    /// Gives a shard up by `claim` once nothing of it is being recorded.
    fn release(&mut self, shard: ShardId, claim: Claim) {
        let Some(place) = self.shards.get_mut(&shard) else {
            return;
        };
        let Some(owner) = place.owner.as_mut().filter(|o| o.is_settled() && !o.releasing) else {
            return;
        };
        owner.releasing = true;
        let epoch = owner.epoch();
        let version = place.version;
        let outside = self.outside.clone();
        self.outside.spawner.spawn(async move {
            // Where it fails, others claim the shard by its silence.
            let _ = commit::claim(&outside, shard, claim, version).await;
            outside.tell(run::Message::Keeper(Message::Released(shard, epoch)));
        });
    }

    fn released(&mut self, shard: ShardId, epoch: u64) {
        if let Some(place) = self.shards.get_mut(&shard)
            && place.owner.as_ref().is_some_and(|owner| owner.epoch() == epoch)
        {
            place.lose(shard);
        }
    }
}

fn subject(layout: Layout, table: Table, gather: Duration) -> Subject {
    Subject { table, parts: layout.parts(table), after: None, gather }
}

fn is_claim(row: &Row, shard: ShardId) -> bool {
    row.name == layout::CLAIM && row.part == layout::shard_part(shard)
}
