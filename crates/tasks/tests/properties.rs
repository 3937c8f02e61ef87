//! Random histories of events and faults.
//!
//! Guards against tasks that run twice at once, are lost, or resume from an old checkpoint,
//! as seen by the workers and the store.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, dead_code)]

mod fake;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{JobName, WorkerName};
use sycamorerill_core::model::{Class, Config, Team, Urgency};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};
use sycamorerill_tasks::cell::{Event, Settings};
use sycamorerill_tasks::job::{Job, Spread};

use fake::{Faults, Profile, Profiles, Worker, World};

/// Time within which every job must have ended after the last fault.
const RECOVERY_TIME: Span = Span::from_secs(10_800);

fn class(name: &str, cores: u64, run: u64, checkpoint: bool) -> Class {
    Class {
        name: name.parse().unwrap(),
        size: Size::new(Cpu::from_cores(cores), Memory::from_gib(cores * 2), Accel(0)),
        run_time: Span::from_secs(run),
        deadline: Span::from_secs(60),
        urgency: Urgency::Normal,
        checkpoint,
        attempts: 3,
        service: false,
    }
}

fn random_world(u: &mut Unstructured<'_>) -> Result<World> {
    let mut config = Config::default();
    let mut profiles = Profiles::default();
    config.version.0 = 1;
    let classes = [
        class("small", 1, 5, true),
        class("large", 4, 20, true),
        class("rigid", 2, 15, false),
        class("doomed", 2, 3, false),
        class("deadly", 1, 3, false),
    ];
    for class in classes {
        let run = class.run_time.scale(f64::from(u.int_in_range(3u8..=100)?) / 10.0);
        let size = f64::from(u.int_in_range(3u8..=12)?) / 10.0;
        let fails = class.name.as_str() == "doomed";
        let crashes_after = (class.name.as_str() == "deadly").then_some(Span::from_ms(200));
        let run = Some(run);
        let profile = Profile { run, size, fails, crashes_after, ..Profile::default() };
        profiles.classes.insert(class.name.clone(), profile);
        profiles.declared.insert(class.name.clone(), class.size);
        config.classes.insert(class.name.clone(), class);
    }
    for (name, cores) in [("crew", 8), ("shop", 100)] {
        let quota = Size::new(Cpu::from_cores(cores), Memory::from_gib(400), Accel(9));
        let name: sycamorerill_core::id::TeamName = name.parse().unwrap();
        let team = Team { name: name.clone(), weight: 1, quota, borrow: true };
        config.teams.insert(name, team);
    }
    let mut world = World::new(config, Settings::default(), profiles, u.arbitrary()?);
    for index in 0..u.int_in_range(2..=5u32)? {
        let size = Size::new(Cpu::from_cores(6), Memory::from_gib(16), Accel(0));
        let mut worker = Worker::new(&format!("w{index}"), &format!("rack{}", index / 2), size);
        worker.clock_offset = Span::from_secs(u.int_in_range(0..=1_000)?);
        world.workers.insert(worker.name.clone(), worker);
    }
    world.take_over();
    Ok(world)
}

fn submit_random_job(world: &mut World, u: &mut Unstructured<'_>, number: u32) -> Result<()> {
    let class = *u.choose(&["small", "small", "large", "rigid", "doomed", "deadly"])?;
    let team = *u.choose(&["crew", "shop"])?;
    let spread = *u.choose(&[Spread::None, Spread::Worker(2), Spread::Rack(3)])?;
    world.submit(Job {
        name: format!("j{number}").parse().unwrap(),
        class: class.parse().unwrap(),
        team: team.parse().unwrap(),
        urgency: *u.choose(&Urgency::ALL)?,
        tasks: u.int_in_range(1..=4)?,
        size: None,
        run_time_ms: None,
        deadline: None,
        spread,
        never: Vec::new(),
    });
    Ok(())
}

fn random_worker(world: &World, u: &mut Unstructured<'_>) -> Result<WorkerName> {
    let names: Vec<WorkerName> = world.workers.keys().cloned().collect();
    u.choose(&names).cloned()
}

fn inject_fault(world: &mut World, u: &mut Unstructured<'_>, jobs: u32) -> Result<()> {
    let worker = random_worker(world, u)?;
    let owner = u.int_in_range(0..=world.owner())?;
    match u.int_in_range(0..=14u8)? {
        0 => world.faults = Faults { lost: 0.2, unanswered: 0.2, late: 0.2 },
        1 => world.faults = Faults::default(),
        2 | 3 => {
            world.cut.insert((owner, worker));
        }
        4 => world.cut.clear(),
        5 => world.workers.get_mut(&worker).unwrap().restart(),
        6 => {
            let broken = u.arbitrary()?;
            world.workers.get_mut(&worker).unwrap().broken = broken;
        }
        7 => world.set_store(u.arbitrary()?),
        8 => world.pause(owner, u.arbitrary()?),
        9 | 10 if world.store_up && world.owner() < 6 => world.take_over(),
        11 => {
            let job: JobName = format!("j{}", u.int_in_range(0..=jobs)?).parse().unwrap();
            world.cancel(job);
        }
        12 => {
            if !world.leaving.remove(&worker) {
                world.leaving.insert(worker);
            }
            world.list_workers();
        }
        13 if world.workers.len() > 2 => {
            world.kill(&worker);
            if u.arbitrary()? {
                world.handle(Event::WorkerGone(worker));
            }
            world.list_workers();
        }
        14 => world.compact(),
        _ => {}
    }
    Ok(())
}

/// Ends all faults except those of former owners.
fn end_faults(world: &mut World) {
    world.faults = Faults::default();
    world.cut.clear();
    world.leaving.clear();
    for worker in world.workers.values_mut() {
        worker.broken = false;
    }
    let owner = world.owner();
    world.pause(owner, false);
    world.set_store(true);
    world.list_workers();
    world.handle(Event::PredecessorGone);
}

fn random_history(u: &mut Unstructured<'_>) -> Result<()> {
    let mut world = random_world(u)?;
    let mut jobs = 0;
    for _ in 0..u.int_in_range(5..=60u32)? {
        if u.ratio(2, 5)? {
            submit_random_job(&mut world, u, jobs)?;
            jobs += 1;
        } else {
            inject_fault(&mut world, u, jobs)?;
        }
        world.run(Span::from_ms(u.int_in_range(1..=8_000)?));
        assert_eq!(world.checks.total(), 0, "{:#?}", world.checks.messages);
    }
    end_faults(&mut world);
    world.strict = false;
    world.run(RECOVERY_TIME);
    assert_eq!(world.checks.total(), 0, "{:#?}", world.checks.messages);
    let status = world.cell().status();
    let parked = status.counts.parked_jobs as usize;
    assert_eq!(world.checks.open_jobs(), parked, "{status:#?}");
    Ok(())
}

/// Number of fixed cases.
const CASES: u64 = 40;
/// Smallest number of random bytes of a case.
const MIN_BYTES: u64 = 256;
/// Largest number of random bytes of a case.
const MAX_BYTES: u64 = 4096;

/// Returns the seeds of the cases, fixed so that every run gives the same result.
///
/// The lower 32 bits of a seed are the number of random bytes of the case.
fn seeds() -> impl Iterator<Item = u64> {
    (0..CASES).map(|case| {
        let size = MIN_BYTES + case * 577 % (MAX_BYTES - MIN_BYTES);
        (case.wrapping_mul(0x9e37_79b9) & 0xffff_ffff) << 32 | size
    })
}

/// Runs the fixed cases, or random ones for the time in the variable `SEARCH_MS`, in
/// milliseconds.
fn run(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    match std::env::var("SEARCH_MS").ok().and_then(|ms| ms.parse().ok()) {
        Some(ms) => {
            let bytes = (MIN_BYTES as u32, MAX_BYTES as u32);
            arbtest(property).budget_ms(ms).size_min(bytes.0).size_max(bytes.1);
        }
        None => seeds().for_each(|seed| drop(arbtest(property).seed(seed))),
    }
}

#[test]
fn random_histories_neither_duplicate_nor_lose_tasks() {
    run(random_history);
}
