//! Report of the demonstration, as JSON or as tables.

use serde::Serialize;
use sycamorerill_fakes::{Platform, RunKey};

use super::jobs::{Submitted, finished};
use crate::commands::demo::Args;
use crate::failure::Failure;
use crate::load::Calls;
use crate::output::{self, Table};

/// Counts of tasks, by the submitter and the workers.
#[derive(Clone, Debug, Serialize)]
struct Tasks {
    submitted: u64,
    finished: u64,
    evicted: u64,
    resumed: u64,
    lost: u64,
    doubled: u64,
    deadline_missed: u64,
}

/// Violated limits and repeated runs, as counted by the executors.
#[derive(Clone, Debug, Serialize)]
struct Executors {
    overcommitted: u64,
    overconnected: u64,
    ran_twice: u64,
}

/// Violated limits, as counted by the workers.
#[derive(Clone, Debug, Serialize)]
struct Workers {
    overcommitted: u64,
}

/// Missed targets: `missed` by the callers and the submitter, `counted` as settled.
#[derive(Clone, Debug, Serialize)]
struct Targets {
    missed: u64,
    counted: u64,
}

/// Peak rates of requests to the table and the object store.
#[derive(Clone, Debug, Serialize)]
struct Store {
    peak_reads_a_second: u64,
    peak_writes_a_second: u64,
}

/// All counters of the demonstration.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    deployment: String,
    seconds: u64,
    seed: u64,
    calls: Calls,
    tasks: Tasks,
    executors: Executors,
    workers: Workers,
    targets: Targets,
    store: Store,
    /// Calls that ran although their callers were told "not run".
    not_run_ran: u64,
    /// Whether every instance finished its work in progress when it was drained.
    drained: bool,
}

impl Report {
    /// Collects the counters of the callers, the submitter and the stand-ins.
    pub(super) fn new(
        args: &Args,
        platform: &Platform,
        calls: Calls,
        jobs: Submitted,
        settled: Option<u64>,
        drained: bool,
    ) -> Self {
        let counts = platform.counts();
        let (workers, executors) = (&counts.workers, &counts.executors);
        let finished = finished(platform);
        let ran = |id: &&String| platform.run_count(&RunKey::Body((*id).clone())) > 0;
        let not_run_ran = calls.told_not_run.iter().filter(ran).count();
        Self {
            deployment: format!("{:?}", args.deployment).to_lowercase(),
            seconds: args.seconds,
            seed: args.seed,
            tasks: Tasks {
                submitted: jobs.tasks,
                finished,
                evicted: workers.checkpointed + workers.stopped,
                resumed: workers.resumed,
                lost: jobs.tasks.saturating_sub(finished),
                doubled: workers.doubled + workers.finished_twice + workers.resumed_twice,
                deadline_missed: jobs.unmeetable,
            },
            executors: Executors {
                overcommitted: executors.overcommitted,
                overconnected: executors.overconnected,
                ran_twice: executors.ran_twice + executors.keys_ran_twice,
            },
            workers: Workers { overcommitted: workers.overcommitted },
            targets: Targets {
                missed: calls.missed + jobs.unmeetable,
                counted: settled.unwrap_or_default(),
            },
            store: Store {
                peak_reads_a_second: counts.table.peak_reads + counts.objects.peak_reads,
                peak_writes_a_second: counts.table.peak_writes + counts.objects.peak_writes,
            },
            not_run_ran: u64::try_from(not_run_ran).unwrap_or(u64::MAX),
            drained,
            calls,
        }
    }

    /// Returns a list of violated guarantees, or none if there is no violation.
    pub(super) fn violations(&self) -> Option<String> {
        let Self { calls, tasks, executors, workers, targets, .. } = self;
        let zero = [
            (calls.wrong_answer, "wrong answers"),
            (calls.overstated, "answers that state more time than they took"),
            (calls.failed_callers, "callers that failed"),
            (tasks.lost, "lost tasks"),
            (tasks.doubled, "doubled tasks"),
            (executors.overcommitted, "overcommitted executors"),
            (executors.overconnected, "executors with too many connections"),
            (executors.ran_twice, "calls that ran twice"),
            (workers.overcommitted, "overcommitted workers"),
            (self.not_run_ran, "calls that were told \"not run\" and ran"),
            (targets.missed.abs_diff(targets.counted), "missed targets not counted once"),
            (u64::from(!self.drained), "instances that left with work in progress"),
        ];
        let found = zero.iter().filter(|(number, _)| *number > 0);
        let found: Vec<String> = found.map(|(number, name)| format!("{number} {name}")).collect();
        (!found.is_empty()).then(|| found.join(", "))
    }

    /// Prints the tables.
    pub(super) fn print(&self) -> Result<(), Failure> {
        let Self { calls, tasks, targets, store, .. } = self;
        output::line(format!(
            "{} for {} s with seed {}: three entry instances, one stopped abruptly; a table\n\
             outage, a worker that fails everything and a flood on the way\n",
            self.deployment, self.seconds, self.seed
        ))?;
        let mut table = Table::new(["calls", "", "latency", ""]);
        let ms = |ms: f64| format!("{ms:.1} ms");
        let row = |name: &str, number: u64| (name.to_owned(), number.to_string());
        let left = [
            row("sent", calls.sent),
            row("answered", calls.answered),
            row("not run", calls.not_run),
            row("unknown", calls.unknown),
            row("wrong answers", calls.wrong_answer),
        ];
        let right = [
            ("median".to_owned(), ms(calls.p50_ms)),
            ("p99".to_owned(), ms(calls.p99_ms)),
            ("p99.9".to_owned(), ms(calls.p999_ms)),
            ("steady load answered".to_owned(), format!("{} %", calls.steady_answered_percent)),
            ("connections broken".to_owned(), calls.broken.to_string()),
        ];
        for ((name, number), (latency, value)) in left.into_iter().zip(right) {
            table.row([name, number, latency, value]);
        }
        table.print("")?;
        let mut table = Table::new(["tasks", "", "must be equal or 0", ""]);
        let left = [
            row("submitted", tasks.submitted),
            row("finished", tasks.finished),
            row("evicted", tasks.evicted),
            row("resumed", tasks.resumed),
            row("deadlines missed", tasks.deadline_missed),
            row("store reads/s, peak", store.peak_reads_a_second),
            row("store writes/s, peak", store.peak_writes_a_second),
        ];
        let equal = format!("{} = {}", targets.missed, targets.counted);
        let right = [
            ("targets missed = counted".to_owned(), equal),
            row("lost tasks", tasks.lost),
            row("doubled tasks", tasks.doubled),
            row("overcommitted executors", self.executors.overcommitted),
            row("overcommitted workers", self.workers.overcommitted),
            row("calls that ran twice", self.executors.ran_twice),
            row("\"not run\" that ran", self.not_run_ran),
        ];
        for ((name, number), (check, value)) in left.into_iter().zip(right) {
            table.row([name, number, check, value]);
        }
        table.print("")
    }
}
