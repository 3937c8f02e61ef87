//! Single router with executors that answer after a fixed time, and counters of its calls.

use sycamorerill_core::id::TeamName;

use super::*;

pub(crate) const EXECUTORS: usize = 5;
pub(crate) const SLOTS: u32 = 8;
pub(crate) const RUN_TIME: Span = Span::from_ms(20);
pub(crate) const DEADLINE: Span = Span::from_ms(250);
/// Capacity of the executors in calls per millisecond.
pub(crate) const CAPACITY: f64 = (EXECUTORS as u32 * SLOTS) as f64 / 20.0;
pub(crate) const TEAMS: usize = 4;

pub(crate) fn team(number: usize) -> TeamName {
    name(&format!("t{number}"))
}

pub(crate) fn teams_config() -> Config {
    let service = Service { slots: SLOTS, rate: PerSecond(CAPACITY * 700.0), ..service(true) };
    let teams = (0..TEAMS).map(|number| {
        let team = Team { name: team(number), weight: 1, quota: Size::ZERO, borrow: true };
        (team.name.clone(), team)
    });
    Config {
        services: [(name("quote"), service)].into(),
        teams: teams.collect(),
        ..Config::default()
    }
}

/// Single router with executors that answer after [`RUN_TIME`] unless set otherwise.
pub(crate) struct Harness {
    pub(crate) router: Router,
    pub(crate) now: Time,
    next_id: u64,
    answers: BTreeSet<(Time, CallId, u64, usize)>,
    flooding: BTreeMap<CallId, bool>,
    /// Calls offered, answered, and answered of the flood; the first two without the flood.
    pub(crate) offered: u32,
    pub(crate) answered: u32,
    pub(crate) flood_answered: u32,
    /// Time from a send to its answer, by executor.
    pub(crate) run_times: [Span; EXECUTORS],
    /// Number of requests sent, by executor.
    pub(crate) sent: [u32; EXECUTORS],
    /// Number of requests in flight, by executor.
    pub(crate) in_flight: [u32; EXECUTORS],
    /// Largest number of requests in flight, by executor.
    pub(crate) max_in_flight: [u32; EXECUTORS],
}

impl Harness {
    pub(crate) fn new(seed: u64) -> Self {
        let mut harness = Self {
            router: Router::new(Settings::default(), seed),
            now: Time::from_ms(1),
            next_id: 0,
            answers: BTreeSet::new(),
            flooding: BTreeMap::new(),
            offered: 0,
            answered: 0,
            flood_answered: 0,
            run_times: [RUN_TIME; EXECUTORS],
            sent: [0; EXECUTORS],
            in_flight: [0; EXECUTORS],
            max_in_flight: [0; EXECUTORS],
        };
        let executor = |number| Executor {
            name: executor_name(number),
            service: name("quote"),
            domain: name("d0"),
            slots: SLOTS,
            leaving: false,
        };
        harness.event(Event::Configured(teams_config().into()));
        harness.event(Event::ExecutorsListed((0..EXECUTORS).map(executor).collect()));
        for number in 0..EXECUTORS {
            let (executor, in_progress) = (executor_name(number), InProgress::Known(0));
            harness.event(Event::ExecutorOwned { executor, epoch: Epoch(1), in_progress });
        }
        harness
    }

    pub(crate) fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        for command in out {
            match command {
                Command::Send { call, attempt, executor, .. } => {
                    let number = executor_number(&executor);
                    self.sent[number] += 1;
                    self.in_flight[number] += 1;
                    self.max_in_flight[number] =
                        self.max_in_flight[number].max(self.in_flight[number]);
                    let at = self.now + self.run_times[number];
                    self.answers.insert((at, call, attempt.0, number));
                }
                Command::Probe { executor } => {
                    let latency = Span::from_ms(1);
                    self.event(Event::Probed { executor, healthy: true, latency });
                }
                Command::Reply { call, outcome: Outcome::Answered { .. } } => {
                    match self.flooding[&call] {
                        true => self.flood_answered += 1,
                        false => self.answered += 1,
                    }
                }
                _ => {}
            }
        }
    }

    /// Pauses the router: the events that occur during `span` are delivered at its end.
    pub(crate) fn pause(&mut self, span: Span) {
        self.now += span;
        while let Some((at, call, attempt, number)) = self.answers.first().copied() {
            if at > self.now {
                return;
            }
            self.answers.pop_first();
            self.in_flight[number] -= 1;
            let answer = SendOutcome::Complete { status: 200 };
            self.event(Event::Answered { call, attempt: Attempt(attempt), answer });
        }
    }

    pub(crate) fn arrive(&mut self, team: TeamName, urgency: Urgency, flooding: bool) {
        self.next_id += 1;
        let id = CallId(self.next_id);
        self.flooding.insert(id, flooding);
        self.offered += u32::from(!flooding);
        self.event(Event::Arrived(Call {
            id,
            service: name("quote"),
            team,
            urgency,
            deadline: self.now + DEADLINE,
            idempotent: true,
            key: None,
            key_recorded: false,
            hops: 0,
        }));
    }

    pub(crate) fn advance(&mut self, until: Time) {
        while let Some((at, call, attempt, number)) = self.answers.first().copied() {
            if at > until {
                break;
            }
            self.answers.pop_first();
            self.now = at;
            self.in_flight[number] -= 1;
            let attempt = Attempt(attempt);
            let answer = SendOutcome::Complete { status: 200 };
            self.event(Event::Answered { call, attempt, answer });
        }
        self.now = until;
        self.event(Event::Tick);
    }
}
