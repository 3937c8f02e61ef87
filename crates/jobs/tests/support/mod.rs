//! Simulated environment of a shard: executors that keep the platform's contract, and records
//! that survive a change of owner. Messages are delivered at once unless a test delays them.

#![allow(dead_code, reason = "each test file uses a part of the simulation")]
#![allow(clippy::expect_used, reason = "an unknown name is a fault of the test")]

mod entries;
pub(crate) mod executor;
mod orders;
pub(crate) mod owners;
mod policy;
mod probe;
pub(crate) mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::admission::Outlook;
use sycamorerill_jobs::config::{Config, Limits, Queue, Service, Terms};
use sycamorerill_jobs::executor::{EndReason, Outcome, Registration};
use sycamorerill_jobs::id::{DomainName, ExecutorId, JobId, QueueName, Run, ServiceName, TaskId};
use sycamorerill_jobs::progress::{Progress, State};
use sycamorerill_jobs::record::RecordId;
use sycamorerill_jobs::shard::{
    Command, Decision, Event, LeaseEnd, Probe, Records, Settings, Shard, Snapshot,
};
use sycamorerill_jobs::spec::{AcceptedJob, Job, Resources, Schedule, Step};

pub(crate) use executor::FakeExecutor;

/// Wall-clock time at the start of a simulation, in milliseconds since 1970.
const WALL_MS: u64 = 1_790_000_000_000;

/// Time by which a simulation advances at once.
const STEP: Span = Span::from_ms(10);

/// A shard with simulated executors, store and advice service.
pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) epoch: u64,
    pub(crate) shard: Shard,
    pub(crate) settings: Settings,
    pub(crate) config: Arc<Config>,
    pub(crate) executors: BTreeMap<ExecutorId, FakeExecutor>,
    pub(crate) accepted: BTreeMap<JobId, AcceptedJob>,
    /// Run times of the tasks of jobs, in place of those of the executors.
    pub(crate) run_times: BTreeMap<JobId, Span>,
    pub(crate) cancelled: BTreeSet<JobId>,
    pub(crate) progress: BTreeMap<RecordId, Progress>,
    pub(crate) states: BTreeMap<JobId, State>,
    /// Lease ends that are recorded, with the times at which all leases have ended.
    pub(crate) lease_ends: BTreeMap<ExecutorId, Time>,
    /// Outlook that was recorded last.
    pub(crate) outlook: Option<Outlook>,
    /// Largest number of tasks in a record.
    pub(crate) largest_record: usize,
    /// Entries that the next successors read in place of the present ones.
    pub(crate) stale_entries: BTreeMap<ExecutorId, Registration>,
    /// Records that the next successors cannot read.
    pub(crate) unreadable: Vec<RecordId>,
    /// Orders that are delivered later, each with the epoch of its sender.
    pub(crate) delayed_orders: Vec<(u64, Command)>,
    /// Whether starts and deadlines reach only the incarnations that they name, as the adapter of
    /// the platform ensures.
    pub(crate) binds_orders: bool,
    /// Whether the order that is carried out was delayed.
    delivers_late: bool,
    /// Failure domains that are evacuated, as the owner and its successors know them.
    pub(crate) evacuated: BTreeSet<DomainName>,
    /// Violated guarantees, such as two runs of a task at once.
    pub(crate) violations: Vec<String>,
    /// Whether each start is checked against the runs of all executors.
    pub(crate) checks_all_executors: bool,
    /// Whether best-effort runs are slower where they want more processor time than there is.
    pub(crate) shares_processors: bool,
    pub(crate) model: Option<Snapshot>,
    /// Decisions that the shard logged.
    pub(crate) log: Vec<String>,
    /// The same as values.
    pub(crate) decisions: Vec<Decision>,
    /// Done tasks whose ends were acknowledged while the leases there were in force.
    pub(super) noted_ends: BTreeSet<TaskId>,
    /// Run of each task that was started last.
    pub(super) latest_runs: BTreeMap<TaskId, Run>,
    /// Probes that wait at executors, with the incarnation that they wait at.
    pending_probes: Vec<(Probe, u64, Time)>,
    /// Time that the answer to a probe takes beyond the probe's wait.
    pub(crate) probe_latency: Span,
    /// Whether the store accepts records.
    pub(crate) store_available: bool,
    batch_pending: bool,
    pub(crate) link: owners::Link,
    /// Owners that were replaced and do not know of it.
    pub(crate) former: Vec<owners::FormerOwner>,
    /// Whether a former owner is in the place of the present one.
    acts_as_former: bool,
    /// Whether the store accepts only one record every 10 ms.
    pub(crate) slow_store: bool,
    /// Executors that the policy of the queue allows; `None` if the queue has no policy.
    pub(crate) allowed_executors: Option<BTreeSet<ExecutorId>>,
    /// Number of further queries that the advice service refuses.
    pub(crate) queries_to_refuse: u32,
    /// Answers of the advice service that arrive later, if they do.
    pub(crate) held_advice: Option<Vec<Event>>,
    /// Number of queries that the advice service has answered.
    pub(crate) queries_answered: u32,
    /// Number of starts that were refused because of a missing or invalid ticket.
    pub(crate) tickets_refused: u32,
    last_recorded: Time,
}

pub(crate) const fn job(id: u64) -> JobId {
    JobId(id)
}

/// Returns a step of `count` tasks of one core that run for about a second.
pub(crate) fn step(count: u32) -> Step {
    let resources = Resources { cpu: 1_000, memory: 1_000, accelerators: 0 };
    Step { count, resources, estimate_ms: 1_000, ..Step::default() }
}

impl Simulation {
    /// Returns a simulation with `count` executors of eight cores.
    pub(crate) fn new(count: u32) -> Self {
        let queue = Queue {
            name: QueueName::from("q"),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            service: ServiceName::from("s"),
            priority: 0,
            max_attempts: 2,
            stretch: 2.0,
            objective: Span::from_ms(500),
            advice: None,
        };
        let service = Service { enforces_capacity: true, standby: false };
        let config = Arc::new(Config {
            version: 1,
            queues: BTreeMap::from([(queue.name.clone(), queue)]),
            services: BTreeMap::from([(ServiceName::from("s"), service)]),
            limits: Limits::default(),
        });
        let mut sim = Self {
            now: Time::from_ms(1_000_000),
            epoch: 1,
            shard: Shard::new(Settings::default(), Arc::clone(&config)),
            settings: Settings::default(),
            config,
            executors: BTreeMap::new(),
            accepted: BTreeMap::new(),
            run_times: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            progress: BTreeMap::new(),
            states: BTreeMap::new(),
            lease_ends: BTreeMap::new(),
            outlook: None,
            largest_record: 0,
            stale_entries: BTreeMap::new(),
            unreadable: Vec::new(),
            delayed_orders: Vec::new(),
            binds_orders: true,
            delivers_late: false,
            evacuated: BTreeSet::new(),
            violations: Vec::new(),
            checks_all_executors: true,
            shares_processors: false,
            log: Vec::new(),
            decisions: Vec::new(),
            model: None,
            noted_ends: BTreeSet::new(),
            latest_runs: BTreeMap::new(),
            pending_probes: Vec::new(),
            probe_latency: Span::ZERO,
            store_available: true,
            batch_pending: false,
            link: owners::Link::default(),
            former: Vec::new(),
            acts_as_former: false,
            slow_store: false,
            allowed_executors: None,
            queries_to_refuse: 0,
            held_advice: None,
            queries_answered: 0,
            tickets_refused: 0,
            last_recorded: Time::ZERO,
        };
        for number in 0..count {
            sim.add_executor(number);
        }
        sim
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        WALL_MS + self.now.as_ms()
    }

    pub(crate) fn executor(&mut self, id: &str) -> &mut FakeExecutor {
        self.executors.get_mut(&ExecutorId::from(id)).expect("executor of the simulation")
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let wall_ms = self.wall_ms();
        self.shard.handle(self.now, wall_ms, event);
    }

    /// Accepts a job with these steps.
    pub(crate) fn submit(&mut self, id: JobId, steps: Vec<Step>) {
        self.submit_scheduled(id, steps, None);
    }

    /// Accepts a job with these steps that runs as scheduled.
    pub(crate) fn submit_scheduled(
        &mut self,
        id: JobId,
        steps: Vec<Step>,
        schedule: Option<Schedule>,
    ) {
        let job = Job { text: "text".to_owned(), steps, schedule };
        self.submit_to("q", id, job, self.wall_ms());
    }

    /// Accepts a job into a queue; its objective counts from `at_ms`.
    pub(crate) fn submit_to(&mut self, queue: &str, id: JobId, job: Job, at_ms: u64) {
        let queue = QueueName::from(queue);
        let terms = self.config.queues.get(&queue).map(Terms::of);
        let accepted = AcceptedJob { queue, terms, at_ms, job };
        self.accepted.insert(id, accepted.clone());
        self.handle(Event::Accepted(id, Box::new(accepted)));
    }

    pub(crate) fn cancel(&mut self, id: JobId) {
        self.cancelled.insert(id);
        self.handle(Event::Cancelled(id));
    }

    /// Replaces the set of evacuated domains.
    pub(crate) fn evacuate(&mut self, domains: &[&str]) {
        self.evacuated = domains.iter().map(|domain| DomainName::from(*domain)).collect();
        self.handle(Event::Evacuated(self.evacuated.clone()));
    }

    /// Notes a violation if a start is ordered in an evacuated domain.
    fn check_domain(&mut self, id: &ExecutorId) {
        let domain = DomainName::from(self.executors[id].domain);
        if self.evacuated.contains(&domain) && !self.acts_as_former {
            let at = self.now.as_ms();
            self.violations.push(format!("{at} a start is ordered on {id} in {domain}"));
        }
    }

    /// Replaces the owner with a successor that starts from the records.
    pub(crate) fn take_over(&mut self) {
        self.epoch += 1;
        self.link.confirmed_at = self.now;
        self.pending_probes.clear();
        self.batch_pending = false;
        self.link = owners::Link::default();
        self.restart_shard();
        let records = Records {
            jobs: self.accepted.iter().map(|(id, job)| (*id, job.clone())).collect(),
            cancelled: self.cancelled.iter().copied().collect(),
            model: self.model.clone(),
            progress: self.progress.iter().map(|(id, record)| (*id, record.clone())).collect(),
            unreadable: self.unreadable.clone(),
            lease_ends: self.recorded_lease_ends(),
        };
        let wall_ms = self.wall_ms();
        self.shard.restore(self.now, wall_ms, records);
    }

    /// Begins with an empty shard and the executors that are listed.
    pub(crate) fn restart_shard(&mut self) {
        self.shard = Shard::new(self.settings, Arc::clone(&self.config));
        self.handle(Event::Evacuated(self.evacuated.clone()));
        let listed = self.executors.values().filter(|executor| !executor.unlisted);
        let ids: Vec<ExecutorId> = listed.map(|executor| executor.id.clone()).collect();
        for id in ids {
            self.list_executor(&id);
        }
    }

    fn recorded_lease_ends(&self) -> Vec<LeaseEnd> {
        let left = |(id, end): (&ExecutorId, &Time)| LeaseEnd {
            executor: id.clone(),
            left: end.since(self.now),
        };
        self.lease_ends.iter().map(left).collect()
    }

    /// Replaces the owner with a successor whose list of executors has the given age.
    pub(crate) fn take_over_with_stale_list(&mut self, age: Span) {
        for executor in self.executors.values_mut() {
            executor.list_age = age;
        }
        self.take_over();
        for executor in self.executors.values_mut() {
            executor.list_age = Span::ZERO;
        }
    }

    /// Advances the time in ticks of 10 ms.
    pub(crate) fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            if self.shares_processors {
                self.executors.values_mut().for_each(|executor| executor.share_processor(STEP));
            }
            self.end_due_runs();
            self.answer_probes();
            self.run_turns();
            self.turn_former_owners();
        }
    }

    /// Ends the runs that are finished or whose lease has expired.
    fn end_due_runs(&mut self) {
        let now = self.now;
        for executor in self.executors.values_mut() {
            let lapsed = executor.clock(now).0 > executor.deadline;
            let ended: Vec<(TaskId, EndReason)> = executor
                .running
                .iter()
                .filter_map(|(task, active)| match active.ends_at {
                    _ if lapsed => Some((*task, EndReason::Lapsed)),
                    Some(at) if at <= now => Some((*task, EndReason::Done)),
                    _ => None,
                })
                .collect();
            if lapsed {
                executor.lapsed_end = executor.end_count;
            }
            for (task, reason) in ended {
                executor.end_run(&task, reason);
            }
        }
    }

    fn run_turns(&mut self) {
        if self.link.is_suspended {
            return;
        }
        loop {
            let wall_ms = self.wall_ms();
            let last_confirmed = self.last_confirmed();
            self.shard.set_confirmed(last_confirmed);
            let commands = self.shard.turn(self.now, wall_ms);
            if commands.is_empty() {
                break;
            }
            for command in commands {
                self.execute_command(command);
            }
        }
        let store_busy = self.slow_store && self.last_recorded == self.now;
        let is_confirmed = self.store_available && self.link.last_confirmed.is_none();
        if self.batch_pending && is_confirmed && !store_busy {
            self.last_recorded = self.now;
            self.batch_pending = false;
            self.handle(Event::Recorded(Vec::new()));
            self.run_turns();
        }
    }

    fn execute_command(&mut self, command: Command) {
        let Some(command) = self.admit(command) else {
            return;
        };
        match command {
            Command::Record(batch) => {
                self.model = batch.model.or(self.model.take());
                let tasks = |record: &Option<Progress>| {
                    record.as_ref().map_or(0, |record| record.tasks.len())
                };
                let most = batch.progress.iter().map(|(_, record)| tasks(record)).max();
                self.largest_record = self.largest_record.max(most.unwrap_or(0));
                for (id, record) in batch.progress {
                    match record {
                        Some(record) => self.progress.insert(id, record),
                        None => self.progress.remove(&id),
                    };
                }
                self.states.extend(batch.states);
                if let Some(ends) = batch.lease_ends {
                    let ends = ends.into_iter().map(|end| (end.executor, self.now + end.left));
                    self.lease_ends = ends.collect();
                }
                self.outlook = batch.outlook.or(self.outlook.take());
                self.batch_pending = true;
                self.note_record();
            }
            Command::Start { ref order, address, .. } => {
                let order = order.clone();
                self.check_domain(&order.executor);
                let outcome = self.deliver(&order.executor, address, command.clone());
                self.handle(Event::Started(order, outcome));
            }
            Command::Stop { ref order, address } => {
                let order = order.clone();
                let outcome = self.deliver(&order.executor, address, command.clone());
                self.handle(Event::Stopped(order, outcome));
            }
            Command::Throttle { ref order, address, percent } => {
                let order = order.clone();
                let outcome = self.deliver(&order.executor, address, command.clone());
                self.handle(Event::ThrottleCompleted(order, percent, outcome));
            }
            Command::Advise { step, executors } => {
                let advice = self.answer_query(step, &executors);
                let answer = Event::Advised(step, executors, advice);
                match &mut self.held_advice {
                    Some(held) => held.push(answer),
                    None => self.handle(answer),
                }
            }
            Command::Probe { probe, address, incarnation, acknowledged, deadline, wait } => {
                let executor = &self.executors[&probe.executor];
                if executor.address != address {
                    return self.handle(Event::ProbeFailed(probe, Outcome::Unknown));
                }
                // A deadline or an acknowledgement reaches only the incarnation that it names.
                let is_right = !self.binds_orders || executor.incarnation == incarnation.0;
                let deadline = deadline.filter(|_| is_right);
                let acknowledged = if is_right { acknowledged } else { 0 };
                self.start_probe(probe, acknowledged, deadline, wait);
            }
            Command::Log(decision) => {
                self.note(format_args!("{decision:?}"));
                self.decisions.push(decision);
            }
        }
    }

    /// Adds a line to the log.
    fn note(&mut self, text: std::fmt::Arguments<'_>) {
        let former = if self.acts_as_former { "former owner " } else { "" };
        self.log.push(format!("{} {former}{text}", self.now.as_ms()));
    }

    /// Returns the share of an executor's processors that best-effort tasks use.
    pub(crate) fn best_effort_share(&self, id: &str) -> f64 {
        let executor = &self.executors[&ExecutorId::from(id)];
        let used = executor.running.values().filter_map(|active| {
            active.best_effort_cpu.map(|cpu| cpu as f64 * f64::from(active.limit_percent) / 100.0)
        });
        used.sum::<f64>() / executor.capacity.cpu as f64
    }

    pub(crate) fn state(&self, id: u64) -> Option<State> {
        self.states.get(&job(id)).copied()
    }

    /// Returns the names of the executors on which a task runs.
    pub(crate) fn executors_running(&self, task: &TaskId) -> Vec<String> {
        let found = self.executors.values().filter(|executor| executor.running.contains_key(task));
        found.map(|executor| executor.id.to_string()).collect()
    }

    /// Returns the number of runs on all executors.
    pub(crate) fn run_count(&self) -> usize {
        self.executors.values().map(|executor| executor.running.len()).sum()
    }
}
