//! One router with executors that answer after a fixed time, and counts of what it does.

use sycamorerill_core::id::TeamName;

use super::*;

pub(crate) const EXECUTORS: usize = 5;
pub(crate) const SLOTS: u32 = 8;
pub(crate) const RUN: Span = Span::from_ms(20);
pub(crate) const DEADLINE: Span = Span::from_ms(250);
/// Calls a millisecond that the executors can take.
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

/// One router with executors that answer after [`RUN`].
pub(crate) struct Counter {
    pub(crate) router: Router,
    pub(crate) now: Time,
    next: u64,
    answers: BTreeSet<(Time, CallId, u64, usize)>,
    flooding: BTreeMap<CallId, bool>,
    pub(crate) offered: u32,
    pub(crate) good: u32,
    pub(crate) flood_good: u32,
    /// Time that each executor takes for a call.
    pub(crate) runs: [Span; EXECUTORS],
    /// Requests sent to each executor.
    pub(crate) sent: [u32; EXECUTORS],
    /// Requests that are out at each executor.
    pub(crate) out: [u32; EXECUTORS],
    /// Largest number of requests that were out at each executor.
    pub(crate) most: [u32; EXECUTORS],
}

impl Counter {
    pub(crate) fn new(seed: u64) -> Self {
        let mut counter = Self {
            router: Router::new(Settings::default(), seed),
            now: Time::from_ms(1),
            next: 0,
            answers: BTreeSet::new(),
            flooding: BTreeMap::new(),
            offered: 0,
            good: 0,
            flood_good: 0,
            runs: [RUN; EXECUTORS],
            sent: [0; EXECUTORS],
            out: [0; EXECUTORS],
            most: [0; EXECUTORS],
        };
        let executor = |number| Executor {
            name: executor_name(number),
            service: name("quote"),
            domain: name("d0"),
            slots: SLOTS,
            leaving: false,
        };
        counter.event(Event::Configured(teams_config().into()));
        counter.event(Event::Listed((0..EXECUTORS).map(executor).collect()));
        for number in 0..EXECUTORS {
            let (executor, in_progress) = (executor_name(number), InProgress::Known(0));
            counter.event(Event::Owned { executor, epoch: Epoch(1), in_progress });
        }
        counter
    }

    pub(crate) fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        for command in out {
            match command {
                Command::Send { call, attempt, executor, .. } => {
                    let number = executor_number(&executor);
                    self.sent[number] += 1;
                    self.out[number] += 1;
                    self.most[number] = self.most[number].max(self.out[number]);
                    let at = self.now + self.runs[number];
                    self.answers.insert((at, call, attempt.0, number));
                }
                Command::Probe { executor } => {
                    let latency = Span::from_ms(1);
                    self.event(Event::Probed { executor, healthy: true, latency });
                }
                Command::Reply { call, outcome: Outcome::Answered { .. } } => {
                    match self.flooding[&call] {
                        true => self.flood_good += 1,
                        false => self.good += 1,
                    }
                }
                _ => {}
            }
        }
    }

    /// Lets time pass without the router: its events come when the pause is over.
    pub(crate) fn pause(&mut self, span: Span) {
        self.now += span;
        while let Some((at, call, attempt, number)) = self.answers.first().copied() {
            if at > self.now {
                return;
            }
            self.answers.pop_first();
            self.out[number] -= 1;
            let answer = Answer::Whole { status: 200 };
            self.event(Event::Answered { call, attempt: Attempt(attempt), answer });
        }
    }

    pub(crate) fn arrive(&mut self, team: TeamName, urgency: Urgency, flooding: bool) {
        self.next += 1;
        let id = CallId(self.next);
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
            claimed: false,
            hops: 0,
        }));
    }

    pub(crate) fn pass(&mut self, until: Time) {
        while let Some((at, call, attempt, number)) = self.answers.first().copied() {
            if at > until {
                break;
            }
            self.answers.pop_first();
            self.now = at;
            self.out[number] -= 1;
            let attempt = Attempt(attempt);
            let answer = Answer::Whole { status: 200 };
            self.event(Event::Answered { call, attempt, answer });
        }
        self.now = until;
        self.event(Event::Tick);
    }
}
