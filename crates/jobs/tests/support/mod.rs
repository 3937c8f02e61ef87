//! A small world for a shard: executors that keep the platform's contract, and a
//! record that outlives owners. Messages are delivered at once unless held back.

#![allow(dead_code, reason = "each test file uses a part of the world")]
#![allow(
    clippy::expect_used,
    reason = "a name that the world does not have is a fault of the test"
)]

mod machine;
mod policy;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::config::{Config, Limits, Queue, Service};
use sycamorerill_jobs::executor::{Answer, Born, How, Listed, Refusal, Standing, Steady};
use sycamorerill_jobs::id::{DomainName, ExecutorId, JobId, Label, QueueName, ServiceName, TaskId};
use sycamorerill_jobs::progress::{Progress, State};
use sycamorerill_jobs::shard::{Command, Event, Probe, Restored, Settings, Shard, Snapshot};
use sycamorerill_jobs::spec::{Accepted, Job, Room, Step};

pub(crate) use machine::{Live, Machine};

/// Time of day at the start of the world, in milliseconds since 1970.
const WALL_MS: u64 = 1_790_000_000_000;

/// The world.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) epoch: u64,
    pub(crate) shard: Shard,
    pub(crate) config: Arc<Config>,
    pub(crate) machines: BTreeMap<ExecutorId, Machine>,
    pub(crate) accepted: BTreeMap<JobId, Accepted>,
    pub(crate) cancelled: BTreeSet<JobId>,
    pub(crate) progress: BTreeMap<JobId, Progress>,
    pub(crate) states: BTreeMap<JobId, State>,
    /// Orders that are carried out later: by which epoch, and what.
    pub(crate) kept: Vec<(u64, Command)>,
    /// Broken promises.
    pub(crate) broken: Vec<String>,
    pub(crate) learned: Option<Snapshot>,
    /// What the shard logged.
    pub(crate) notes: Vec<String>,
    done: BTreeSet<TaskId>,
    waiting_looks: Vec<(Probe, Time)>,
    /// Time that a look takes beyond its wait.
    pub(crate) latency: Span,
    /// Whether the store takes records.
    pub(crate) store: bool,
    unrecorded: bool,
    /// Whether the store takes one record every 10 ms only.
    pub(crate) slow_store: bool,
    /// Executors on which the policy of the queue allows tasks to run, where it has one.
    pub(crate) allowed: Option<BTreeSet<ExecutorId>>,
    /// Questions for advice that are refused.
    pub(crate) refused_advice: u32,
    /// Questions for advice that were answered.
    pub(crate) advised: u32,
    /// Starts that were refused for want of a ticket.
    pub(crate) refused_tickets: u32,
    recorded_at: Time,
}

pub(crate) fn job(id: u64) -> JobId {
    JobId(id)
}

/// Returns a step of `count` tasks of one core that run about a second.
pub(crate) fn step(count: u32) -> Step {
    let room = Room { cpu: 1_000, memory: 1_000, accelerators: 0 };
    Step { count, room, estimate_ms: 1_000, ..Step::default() }
}

impl World {
    /// Returns a world with `count` executors of eight cores.
    pub(crate) fn new(count: u32) -> Self {
        let queue = Queue {
            name: QueueName::from("q"),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            service: ServiceName::from("s"),
            priority: 0,
            attempts: 2,
            stretch: 2.0,
            objective: Span::from_ms(500),
            advice: None,
        };
        let service = Service { guards: true, standby: false };
        let config = Arc::new(Config {
            version: 1,
            queues: BTreeMap::from([(queue.name.clone(), queue)]),
            services: BTreeMap::from([(ServiceName::from("s"), service)]),
            limits: Limits::default(),
        });
        let mut world = Self {
            now: Time::from_ms(1_000_000),
            epoch: 1,
            shard: Shard::new(Settings::default(), Arc::clone(&config)),
            config,
            machines: BTreeMap::new(),
            accepted: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            progress: BTreeMap::new(),
            states: BTreeMap::new(),
            kept: Vec::new(),
            broken: Vec::new(),
            notes: Vec::new(),
            learned: None,
            done: BTreeSet::new(),
            waiting_looks: Vec::new(),
            latency: Span::ZERO,
            store: true,
            unrecorded: false,
            slow_store: false,
            allowed: None,
            refused_advice: 0,
            advised: 0,
            refused_tickets: 0,
            recorded_at: Time::ZERO,
        };
        for number in 0..count {
            world.add(number);
        }
        world
    }

    fn add(&mut self, number: u32) {
        let id = ExecutorId::from(format!("x{number}").as_str());
        let machine = Machine {
            id: id.clone(),
            address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
            born: self.wall_ms() + u64::from(number),
            started: self.now - Span::from_ms(100),
            fence: 0,
            deadline: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            counted: 0,
            highest: BTreeMap::new(),
            room: Room { cpu: 8_000, memory: 32_000, accelerators: 0 },
            reachable: true,
            late: false,
            gone: false,
            replaced: false,
            run_time: Span::from_ms(1_000),
            tail_ms: 20,
            list_age: Span::ZERO,
        };
        self.machines.insert(id.clone(), machine);
        self.list(&id);
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        WALL_MS + self.now.as_ms()
    }

    pub(crate) fn machine(&mut self, id: &str) -> &mut Machine {
        self.machines.get_mut(&ExecutorId::from(id)).expect("executor of the world")
    }

    /// Lists an executor as the platform's store would.
    pub(crate) fn list(&mut self, id: &ExecutorId) {
        let listed = self.listed(id);
        self.tell(Event::Listed(Box::new(listed)));
    }

    fn listed(&self, id: &ExecutorId) -> Listed {
        let machine = &self.machines[id];
        Listed {
            id: id.clone(),
            born: Born(machine.born),
            address: machine.address,
            service: ServiceName::from("s"),
            domain: DomainName::from("d"),
            standing: Standing::Ready,
            cold: Span::ZERO,
            remaining: None,
            capacity: machine.room,
            labels: vec![Label::from("a"), Label::from("r1")],
            clock: machine.clock(self.now - machine.list_age),
        }
    }

    pub(crate) fn tell(&mut self, event: Event) {
        let wall_ms = self.wall_ms();
        self.shard.handle(self.now, wall_ms, event);
    }

    /// Accepts a job of these steps.
    pub(crate) fn submit(&mut self, id: JobId, steps: Vec<Step>) {
        let job = Job { text: "text".to_owned(), steps, schedule: None };
        let accepted = Accepted { queue: QueueName::from("q"), at_ms: self.wall_ms(), job };
        self.accepted.insert(id, accepted.clone());
        self.tell(Event::Accepted(id, Box::new(accepted)));
    }

    pub(crate) fn cancel(&mut self, id: JobId) {
        self.cancelled.insert(id);
        self.tell(Event::Cancelled(id));
    }

    /// Lets the owner die and another take over from the record.
    pub(crate) fn take_over(&mut self) {
        self.epoch += 1;
        self.waiting_looks.clear();
        self.unrecorded = false;
        self.shard = Shard::new(Settings::default(), Arc::clone(&self.config));
        let listed = self.machines.values().filter(|machine| !machine.gone);
        let ids: Vec<ExecutorId> = listed.map(|machine| machine.id.clone()).collect();
        for id in ids {
            self.list(&id);
        }
        let restored = Restored {
            jobs: self.accepted.iter().map(|(id, job)| (*id, job.clone())).collect(),
            cancelled: self.cancelled.iter().copied().collect(),
            learned: self.learned.clone(),
            progress: self.progress.iter().map(|(id, record)| (*id, record.clone())).collect(),
        };
        let wall_ms = self.wall_ms();
        self.shard.restore(self.now, wall_ms, restored);
    }

    /// Lets another take over whose list of executors is `old`.
    pub(crate) fn take_over_with_clocks_as_of(&mut self, old: Span) {
        for machine in self.machines.values_mut() {
            machine.list_age = old;
        }
        self.take_over();
        for machine in self.machines.values_mut() {
            machine.list_age = Span::ZERO;
        }
    }

    /// Lets time pass.
    pub(crate) fn pass(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now += Span::from_ms(10);
            self.live();
            self.answer_looks();
            self.settle();
        }
    }

    /// Lets the executors live on: runs end and leases lapse.
    fn live(&mut self) {
        let now = self.now;
        let mut done = Vec::new();
        for machine in self.machines.values_mut() {
            let lapsed = machine.clock(now).0 > machine.deadline;
            let over: Vec<(TaskId, How)> = machine
                .running
                .iter()
                .filter_map(|(task, live)| match live.ends_at {
                    _ if lapsed => Some((*task, How::Lapsed)),
                    Some(at) if at <= now => Some((*task, How::Done)),
                    _ => None,
                })
                .collect();
            for (task, how) in over {
                if how == How::Done {
                    done.push(task);
                }
                machine.end(&task, how);
            }
        }
        self.done.extend(done);
    }

    fn settle(&mut self) {
        loop {
            let wall_ms = self.wall_ms();
            let commands = self.shard.turn(self.now, wall_ms);
            if commands.is_empty() {
                break;
            }
            for command in commands {
                self.carry_out(command);
            }
        }
        let held_up = self.slow_store && self.recorded_at == self.now;
        if self.unrecorded && self.store && !held_up {
            self.recorded_at = self.now;
            self.unrecorded = false;
            self.tell(Event::Recorded);
            self.settle();
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Record(batch) => {
                self.learned = batch.learned.or(self.learned.take());
                self.progress.extend(batch.progress);
                self.states.extend(batch.states);
                self.unrecorded = true;
            }
            Command::Start { ref order, .. } => {
                let order = order.clone();
                let answer = self.order(&order.executor, command.clone());
                self.tell(Event::Started(order, answer));
            }
            Command::Stop { ref order, .. } => {
                let order = order.clone();
                let answer = self.order(&order.executor, command.clone());
                self.tell(Event::Stopped(order, answer));
            }
            Command::Pace { order, percent, .. } => {
                let machine = self.machines.get_mut(&order.executor).expect("known executor");
                if let Some(live) = machine.running.get_mut(&order.task) {
                    live.percent = percent;
                }
                self.tell(Event::Paced(order, percent, Answer::Done(Steady(0))));
            }
            Command::Advise { step, executors } => {
                let permits = self.answer(step, &executors);
                self.tell(Event::Advised(step, executors, permits));
            }
            Command::Look { glance, seen, deadline, wait, .. } => {
                self.look(glance, seen, deadline, wait);
            }
            Command::Log(note) => self.notes.push(format!("{} {note:?}", self.now.as_ms())),
        }
    }

    fn order(&mut self, id: &ExecutorId, command: Command) -> Answer {
        let epoch = self.epoch;
        let Some(machine) = self.machines.get(id) else {
            return Answer::NotSent;
        };
        if machine.replaced {
            return Answer::Refused(Refusal::Incarnation, None);
        }
        if !machine.reachable {
            return Answer::Unknown;
        }
        if machine.late {
            self.kept.push((epoch, command));
            return Answer::Unknown;
        }
        self.execute(epoch, &command)
    }

    /// Carries out the orders that were kept.
    pub(crate) fn carry_out_late(&mut self) {
        for (epoch, command) in std::mem::take(&mut self.kept) {
            self.execute(epoch, &command);
        }
    }

    fn execute(&mut self, epoch: u64, command: &Command) -> Answer {
        let now = self.now;
        let (order, deadline) = match command {
            Command::Start { order, deadline, .. } => (order, Some(deadline.0)),
            Command::Stop { order, .. } => (order, None),
            _ => return Answer::Unknown,
        };
        let ticketed = match command {
            Command::Start { order, ticket, .. } => self.has_ticket(order, ticket.as_ref()),
            _ => true,
        };
        let elsewhere = self
            .machines
            .values()
            .any(|m| m.running.get(&order.task).is_some_and(|live| live.run != order.run));
        let machine = self.machines.get_mut(&order.executor).expect("known executor");
        let clock = machine.clock(now);
        if epoch < machine.fence {
            return Answer::Refused(Refusal::Fence, Some(clock));
        }
        machine.fence = epoch;
        let Some(deadline) = deadline else {
            let highest = machine.highest.entry(order.task).or_default();
            *highest = (*highest).max(order.run);
            if machine.running.get(&order.task).is_some_and(|live| live.run == order.run) {
                machine.end(&order.task, How::Stopped);
            }
            return Answer::Done(clock);
        };
        if clock.0 > deadline {
            return Answer::Refused(Refusal::Late, Some(clock));
        }
        machine.deadline = machine.deadline.max(deadline);
        if machine.running.get(&order.task).is_some_and(|live| live.run == order.run) {
            return Answer::Done(clock);
        }
        if machine.highest.get(&order.task).is_some_and(|highest| *highest >= order.run) {
            return Answer::Refused(Refusal::Old, Some(clock));
        }
        if !ticketed {
            self.refused_tickets += 1;
            return Answer::Refused(Refusal::Ticket, Some(clock));
        }
        if elsewhere {
            self.broken.push(format!("{} runs twice at once", order.task));
        }
        if self.done.contains(&order.task) && self.is_noted_done(&order.task) {
            self.broken.push(format!("{} runs after it was done", order.task));
        }
        if self.cancelled.contains(&order.task.step.job) {
            self.broken.push(format!("{} starts after its job was cancelled", order.task));
        }
        let machine = self.machines.get_mut(&order.executor).expect("known executor");
        machine.highest.insert(order.task, order.run);
        let lasting =
            self.accepted[&order.task.step.job].job.steps[order.task.step.step as usize].lasting;
        let ends_at = (!lasting).then(|| now + machine.run_time);
        let step = &self.accepted[&order.task.step.job].job.steps[order.task.step.step as usize];
        let live = Live {
            run: order.run,
            ends_at,
            percent: 100,
            fills: step.filling.then_some(step.room.cpu),
            serves: step.objective_ms.is_some(),
        };
        machine.running.insert(order.task, live);
        Answer::Done(clock)
    }

    fn is_noted_done(&self, task: &TaskId) -> bool {
        // An end that no executor lists any more was told as recorded.
        !self.machines.values().any(|m| m.ended.iter().any(|end| end.task == *task))
    }

    fn look(&mut self, glance: Probe, seen: u64, deadline: Option<Steady>, wait: Span) {
        let (now, epoch) = (self.now, self.epoch);
        let machine = self.machines.get_mut(&glance.executor).expect("known executor");
        if machine.replaced {
            let refused = Answer::Refused(Refusal::Incarnation, None);
            self.tell(Event::NotLooked(glance, refused));
            return;
        }
        if !machine.reachable {
            self.tell(Event::NotLooked(glance, Answer::Unknown));
            return;
        }
        if epoch < machine.fence {
            let refused = Answer::Refused(Refusal::Fence, Some(machine.clock(now)));
            self.tell(Event::NotLooked(glance, refused));
            return;
        }
        machine.fence = epoch;
        machine.ended.retain(|end| end.number > seen);
        if let Some(deadline) = deadline {
            machine.deadline = machine.deadline.max(deadline.0);
        }
        self.waiting_looks.push((glance, now + wait + self.latency));
    }

    fn answer_looks(&mut self) {
        let now = self.now;
        for (glance, until) in std::mem::take(&mut self.waiting_looks) {
            let machine = &self.machines[&glance.executor];
            if !machine.reachable {
                self.tell(Event::NotLooked(glance, Answer::Unknown));
            } else if now >= until || (!machine.ended.is_empty() && self.latency == Span::ZERO) {
                let report = machine.report(now);
                self.tell(Event::Looked(glance, report));
            } else {
                self.waiting_looks.push((glance, until));
            }
        }
    }

    /// Returns the share of its processors that filling tasks use at an executor.
    pub(crate) fn filling_share(&self, id: &str) -> f64 {
        let machine = &self.machines[&ExecutorId::from(id)];
        let used = machine
            .running
            .values()
            .filter_map(|live| live.fills.map(|cpu| cpu as f64 * f64::from(live.percent) / 100.0));
        used.sum::<f64>() / machine.room.cpu as f64
    }

    pub(crate) fn state(&self, id: u64) -> Option<State> {
        self.states.get(&job(id)).copied()
    }

    /// Returns where a task runs.
    pub(crate) fn places(&self, task: &TaskId) -> Vec<String> {
        let there = self.machines.values().filter(|m| m.running.contains_key(task));
        there.map(|machine| machine.id.to_string()).collect()
    }

    /// Returns the number of runs at all executors.
    pub(crate) fn running(&self) -> usize {
        self.machines.values().map(|machine| machine.running.len()).sum()
    }
}
