//! Wall-clock time per placement.

use std::sync::Arc;
use std::time::Instant;

use serde_json::{Value, json};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Epoch, Incarnation};
use sycamorerill_core::model::Urgency;
use sycamorerill_tasks::cell::{Cell, Command, Decision, Event, Settings};
use sycamorerill_tasks::job::{Job, RequestId, Spread};
use sycamorerill_tasks::worker::{self, Report, Worker};

use crate::deployment::{Deployment, WORKER};

/// Largest number of placements made, including the warm-up.
const PLACEMENTS: u32 = 8_000;
/// Number of tasks per job.
const TASKS: u32 = 50;

struct Bench {
    cell: Cell,
    now: Time,
    placed: u32,
    exchanges: Vec<(sycamorerill_core::id::WorkerName, worker::Exchange)>,
}

impl Bench {
    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.cell.handle(self.now, event, &mut out);
        for command in out {
            match command {
                Command::Journal(record) => self.handle(Event::Durable(record.sequence)),
                Command::Exchange { worker, exchange } => self.exchanges.push((worker, exchange)),
                Command::Decision(Decision::Placed { .. }) => self.placed += 1,
                _ => {}
            }
        }
    }

    /// Answers every exchange with a report of the started tasks.
    fn answer(&mut self) {
        for (name, exchange) in std::mem::take(&mut self.exchanges) {
            let tasks = exchange.commands.iter().filter_map(report_task).collect();
            let report = Report {
                epoch: exchange.epoch,
                answers: exchange.number,
                at: worker::Instant::new(Incarnation(1), self.now),
                size: WORKER,
                tasks,
            };
            self.handle(Event::Reported { worker: name, report });
        }
    }

    fn submit(&mut self, number: u32) {
        let classes = ["cut-list", "knot-pattern", "packing-slip", "render"];
        let job = Job {
            name: format!("j{number}").parse().unwrap(),
            class: classes[number as usize % classes.len()].parse().unwrap(),
            team: "crew".parse().unwrap(),
            urgency: Urgency::Urgent,
            tasks: TASKS,
            size: None,
            run_time_ms: None,
            deadline: None,
            spread: Spread::None,
            never: Vec::new(),
        };
        let request = RequestId { id: "r".into() };
        self.handle(Event::Submit { job, request });
    }
}

fn report_task(command: &worker::Command) -> Option<worker::TaskReport> {
    let worker::Command::Start { task, token, attempt, size, class, .. } = command else {
        return None;
    };
    Some(worker::TaskReport {
        task: task.clone(),
        token: *token,
        attempt: *attempt,
        size: *size,
        class: class.clone(),
        phase: worker::Phase::Running,
        usage: None,
    })
}

/// Measures placements among `workers` workers, up to 10 on each.
pub(crate) fn run(workers: u32, seed: u64) -> Value {
    let settings = Settings { low_urgency_headroom: 0.0, ..Settings::default() };
    let cell = Cell::new(settings, "vejle-a".parse().unwrap(), Epoch(1), seed);
    let mut bench = Bench { cell, now: Time::from_ms(1), placed: 0, exchanges: Vec::new() };
    bench.handle(Event::Configured(Arc::new(Deployment::Ropes.config())));
    let list = (0..workers).map(|index| Worker {
        name: format!("w{index}").parse().unwrap(),
        rack: format!("rack{}", index / 8).parse().unwrap(),
        size: WORKER,
        leaving: false,
    });
    bench.handle(Event::WorkersListed(list.collect()));
    bench.answer();
    let most = PLACEMENTS.min(workers * 10);
    let mut number = 0;
    // Warm-up: the first quarter of the placements is not timed.
    while bench.placed < most / 4 {
        number += 1;
        bench.submit(number);
        bench.answer();
    }
    let before = bench.placed;
    let start = Instant::now();
    while bench.placed < most {
        number += 1;
        bench.now += Span::from_ms(1);
        bench.submit(number);
        bench.answer();
    }
    let seconds = start.elapsed().as_secs_f64();
    let placed = f64::from(bench.placed - before);
    json!({
        "scenario": "placement-cost",
        "wall": true,
        "workers": workers,
        "placements": placed,
        "us_per_placement": (seconds / placed * 1e7).round() / 10.0,
        "placements_per_s": (placed / seconds).round(),
    })
}
