//! Interpreter for the commands of scenario files.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::str::FromStr;

use datadriven::TestCase;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{TeamName, WorkerName};
use sycamorerill_core::model::{Class, Config, Team, Urgency};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};
use sycamorerill_tasks::cell::{Event, Settings};
use sycamorerill_tasks::job::{Job, Spread};

use crate::fake::{Profile, Profiles, Worker, World};

/// The state of a running scenario.
#[derive(Default)]
pub(crate) struct Script {
    config: Config,
    settings: Settings,
    profiles: Profiles,
    world: Option<World>,
}

fn arg<T: FromStr>(case: &TestCase, name: &str) -> Option<T>
where
    T::Err: std::fmt::Debug,
{
    let values = case.args.get(name)?;
    Some(values.first()?.parse().unwrap())
}

fn flag(case: &TestCase, name: &str) -> bool {
    case.args.contains_key(name)
}

fn size(case: &TestCase, cores: u64, gib: u64) -> Size {
    let cores = arg(case, "cores").unwrap_or(cores);
    let gib = arg(case, "gib").unwrap_or(gib);
    let accel = arg(case, "accel").unwrap_or(0);
    Size::new(Cpu::from_cores(cores), Memory::from_gib(gib), Accel(accel))
}

impl Script {
    /// Runs one command and returns its output.
    pub(crate) fn run(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "class" => self.class(case),
            "team" => self.team(case),
            "workers" => self.workers(case),
            "start" => self.world().take_over(),
            "submit" => self.submit(case),
            "run" => self.world().run(arg(case, "for").unwrap()),
            "show" => return self.show(),
            _ => self.inject_fault(case),
        }
        String::new()
    }

    fn world(&mut self) -> &mut World {
        if self.world.is_none() {
            self.config.version.0 = 1;
            if self.config.teams.is_empty() {
                self.config.teams.insert("crew".parse().unwrap(), team("crew", 1_000, true));
            }
            let (config, settings) = (self.config.clone(), self.settings.clone());
            self.world = Some(World::new(config, settings, self.profiles.clone(), 1));
        }
        self.world.as_mut().unwrap()
    }

    fn class(&mut self, case: &TestCase) {
        let name = arg::<String>(case, "name").unwrap();
        let run = arg(case, "run").unwrap_or(Span::from_secs(30));
        let class = Class {
            name: name.parse().unwrap(),
            size: size(case, 2, 4),
            run_time: run,
            deadline: arg(case, "deadline").unwrap_or(Span::from_secs(3_600)),
            urgency: Urgency::Normal,
            checkpoint: flag(case, "checkpoint"),
            attempts: arg(case, "attempts").unwrap_or(3),
            service: flag(case, "service"),
        };
        let real = arg(case, "real-run").unwrap_or(run);
        let profile = Profile {
            size: arg(case, "real-size").unwrap_or(1.0),
            run: (!class.service).then_some(real),
            fails: flag(case, "fails"),
            crashes_after: arg(case, "crashes-after"),
            noise: arg(case, "noise").unwrap_or(0.0),
            noise_period: Span::ZERO,
        };
        self.profiles.declared.insert(class.name.clone(), class.size);
        self.profiles.classes.insert(class.name.clone(), profile);
        self.config.classes.insert(class.name.clone(), class);
    }

    fn team(&mut self, case: &TestCase) {
        let name = arg::<String>(case, "name").unwrap();
        let team = team(&name, arg(case, "quota").unwrap_or(1_000), !flag(case, "no-borrow"));
        self.config.teams.insert(team.name.clone(), team);
    }

    fn workers(&mut self, case: &TestCase) {
        let count: u32 = arg(case, "n").unwrap();
        let per_rack: u32 = arg(case, "rack").unwrap_or(8);
        let size = size(case, 8, 32);
        for index in 0..count {
            let name = format!("{}{index}", arg::<String>(case, "name").unwrap_or("w".to_owned()));
            let worker = Worker::new(&name, &format!("rack{}", index / per_rack), size);
            self.world().workers.insert(worker.name.clone(), worker);
        }
    }

    fn submit(&mut self, case: &TestCase) {
        let spread = match (arg(case, "per-rack"), arg(case, "per-worker")) {
            (Some(most), _) => Spread::Rack(most),
            (_, Some(most)) => Spread::Worker(most),
            _ => Spread::None,
        };
        let count: u32 = arg(case, "jobs").unwrap_or(1);
        for index in 0..count {
            let name = arg::<String>(case, "job").unwrap();
            let name = if count > 1 { format!("{name}{index}") } else { name };
            let job = Job {
                name: name.parse().unwrap(),
                class: arg(case, "class").unwrap(),
                team: arg(case, "team").unwrap_or("crew".parse().unwrap()),
                urgency: arg(case, "urgency").unwrap_or_default(),
                tasks: arg(case, "tasks").unwrap_or(1),
                size: None,
                run_time_ms: None,
                deadline: None,
                spread,
                never: Vec::new(),
            };
            self.world().submit(job);
        }
    }

    fn inject_fault(&mut self, case: &TestCase) {
        let worker = arg::<WorkerName>(case, "worker");
        let owner = arg::<usize>(case, "owner");
        let world = self.world();
        match case.directive.as_str() {
            "cancel" => world.cancel(arg(case, "job").unwrap()),
            "take-over" => world.take_over(),
            "predecessor-gone" => world.handle(Event::PredecessorGone),
            "pause" => world.pause(owner.unwrap(), true),
            "continue" => world.pause(owner.unwrap(), false),
            "store" => world.set_store(flag(case, "up")),
            "lose" => world.faults.lost = arg(case, "share").unwrap(),
            "unanswered" => world.faults.unanswered = arg(case, "share").unwrap(),
            "late" => world.faults.late = arg(case, "share").unwrap(),
            "kill" => world.kill(&worker.unwrap()),
            "gone" => world.handle(Event::WorkerGone(worker.unwrap())),
            "list" => world.list_workers(),
            "compact" => world.compact(),
            "cut" => {
                let owner = owner.unwrap_or(world.owner());
                world.cut.insert((owner, worker.unwrap()));
            }
            "mend" => {
                let owner = owner.unwrap_or(world.owner());
                world.cut.remove(&(owner, worker.unwrap()));
            }
            "restart" => world.workers.get_mut(&worker.unwrap()).unwrap().restart(),
            "break" => world.workers.get_mut(&worker.unwrap()).unwrap().broken = true,
            "leave" => {
                world.leaving.insert(worker.unwrap());
                world.list_workers();
            }
            other => panic!("unknown command `{other}`"),
        }
    }

    /// Returns the tasks on each worker, the counts by state, replies and outcomes, and the
    /// violated invariants.
    fn show(&mut self) -> String {
        let world = self.world();
        let mut text = String::new();
        for worker in world.workers.values() {
            let runs: Vec<String> = worker
                .runs
                .values()
                .map(|run| format!("{} {}", run.task, phase_name(&run.phase)))
                .collect();
            if !runs.is_empty() {
                writeln!(text, "{}: {}", worker.name, runs.join(", ")).unwrap();
            }
        }
        let status = world.cell().status();
        let states: Vec<String> = status
            .counts
            .states
            .iter()
            .filter(|(_, count)| **count > 0)
            .map(|(state, count)| format!("{count} {state}"))
            .collect();
        writeln!(text, "tasks: {}", states.join(", ")).unwrap();
        writeln!(text, "replies: {}", format_counts(&world.tally.replies)).unwrap();
        let mut ended: BTreeMap<String, u64> = BTreeMap::new();
        for outcome in world.tally.ended.values() {
            *ended.entry(format!("{outcome:?}")).or_default() += 1;
        }
        writeln!(text, "ended: {}", format_counts(&ended)).unwrap();
        if !world.tally.crashes.is_empty() {
            let crashes: Vec<String> =
                world.tally.crashes.iter().map(|(task, count)| format!("{task} {count}")).collect();
            writeln!(text, "workers crashed by: {}", crashes.join(", ")).unwrap();
        }
        if !world.tally.missed.is_empty() {
            let times: u64 = world.tally.missed.values().sum();
            writeln!(text, "missed: {} jobs, {times} times", world.tally.missed.len()).unwrap();
        }
        writeln!(text, "violations: {}", world.checks.total()).unwrap();
        for message in &world.checks.messages {
            writeln!(text, "{message}").unwrap();
        }
        text
    }
}

fn team(name: &str, cores: u64, borrow: bool) -> Team {
    let name: TeamName = name.parse().unwrap();
    let quota = Size::new(Cpu::from_cores(cores), Memory::from_gib(cores * 4), Accel(cores));
    Team { name, weight: 1, quota, borrow }
}

fn format_counts(counts: &BTreeMap<String, u64>) -> String {
    let entries: Vec<String> =
        counts.iter().map(|(word, count)| format!("{count} {word}")).collect();
    entries.join(", ")
}

fn phase_name(phase: &sycamorerill_tasks::worker::Phase) -> String {
    let text = format!("{phase:?}");
    text.split(['(', ' ']).next().unwrap_or_default().to_lowercase()
}
