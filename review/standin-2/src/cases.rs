//! The cases. Each returns whether its rule was broken.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::executor::Place;
use crate::record::{Noted, Record, Step};
use crate::world::{HOST, PREFIX, Plan, World, manifest, route};

pub struct Setup {
    pub folder: PathBuf,
    pub record: PathBuf,
    pub trouble: bool,
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn id(group: u64, number: u64) -> String {
    // Identifiers look like those of callers, and their low and high bits vary.
    let mixed = (group * 1_000 + number + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    format!("{:016x}", mixed ^ (mixed >> 29))
}

fn places(count: usize, rack: usize) -> Vec<Place> {
    let place = |number| Place {
        id: format!("i-{number:03}"),
        labels: ["a".to_owned(), format!("r1-{}", number / rack)],
        cpu: 64_000,
        mem: 256_000,
    };
    (0..count).map(place).collect()
}

impl Setup {
    fn world(&self, executors: Vec<Place>, cpu_share: f64, verbose: bool) -> Result<World, String> {
        let record = Record::create(&self.record, verbose).map_err(|error| error.to_string())?;
        let plan = Plan {
            instances: 3,
            cpu_share,
            link_mbps: 1_000.0,
            executors,
            manifest: manifest(7, &[route("r-cut", PREFIX)]),
            folder: self.folder.clone(),
            record,
        };
        plan.start()
    }

    fn verdict(&self, world: &World, rule: &str, broken: &[String]) -> bool {
        let state = if broken.is_empty() { "held" } else { "BROKEN" };
        world.record.line(&format!("rule: {rule} {state}, {} jobs: {broken:?}", broken.len()));
        println!("{rule} {state}: {} jobs", broken.len());
        !broken.is_empty()
    }

    /// One job that can never be done, with many steps side by side, among many that can.
    pub fn hopeless(&self) -> Result<bool, String> {
        let world = self.world(places(8, 4), 0.25, true)?;
        let mut ids = Vec::new();
        for number in 0..30 {
            let name = id(1, number);
            if world.submit(PREFIX, &name, &[Step::new(2, 1_000, 500, 400)]) {
                ids.push(name);
            }
            if number == 10 && self.trouble {
                let steps: Vec<Step> =
                    (0..210).map(|_| Step::new(1, 1_000, 500, 60_000).labelled("b")).collect();
                let accepted = world.submit(PREFIX, &id(2, 0), &steps);
                world.record.line(&format!("fault: {} can never be done ({accepted})", id(2, 0)));
            }
            pause(90);
        }
        // A job takes all executors for 3 s, so that those after it have to wait.
        let all = id(3, 0);
        if world.submit(PREFIX, &all, &[Step::new(32, 16_000, 8_000, 3_000)]) {
            ids.push(all);
        }
        pause(700);
        for number in 0..10 {
            let name = id(4, number);
            if world.submit(PREFIX, &name, &[Step::new(1, 4_000, 2_000, 500)]) {
                ids.push(name);
            }
            pause(50);
        }
        let lost = world.lost(&ids);
        lost.iter().for_each(|name| drop(world.state(PREFIX, name)));
        Ok(self.verdict(&world, "LOST", &lost))
    }

    /// The operator gives a queue another name; its host and path stay.
    pub fn renamed(&self) -> Result<bool, String> {
        let world = self.world(places(8, 4), 0.25, true)?;
        let mut ids = Vec::new();
        for number in 0..10 {
            let name = id(1, number);
            let steps = [Step::new(2, 2_000, 500, 2_000), Step::new(2, 2_000, 500, 1_000).after(0)];
            if world.submit(PREFIX, &name, &steps) {
                ids.push(name);
            }
            pause(50);
        }
        pause(400);
        let name = if self.trouble { "r-cut-2" } else { "r-cut" };
        world.configure(&manifest(12, &[route(name, PREFIX)]));
        pause(2_500);
        for number in 0..5 {
            let name = id(2, number);
            if world.submit(PREFIX, &name, &[Step::new(2, 2_000, 500, 500)]) {
                ids.push(name);
            }
            pause(50);
        }
        let lost = world.lost(&ids);
        ids.iter().for_each(|name| drop(world.state(PREFIX, name)));
        Ok(self.verdict(&world, "LOST", &lost))
    }

    /// An executor is cut off soon after it has begun a task. Later it crashes with the executor that
    /// the task began on since, so that one executor has crashed under the task.
    pub fn blamed(&self) -> Result<bool, String> {
        let world = self.world(places(15, 5), 0.25, true)?;
        let name = id(1, 0);
        if !world.submit(PREFIX, &name, &[Step::new(1, 30_000, 8_000, 6_000)]) {
            return Err("the job was not accepted".to_owned());
        }
        let find = |not: Option<usize>| -> Result<usize, String> {
            let until = Instant::now() + Duration::from_secs(8);
            loop {
                let found = world.executors.iter().position(|executor| executor.runs_job(&name));
                match found.filter(|found| Some(*found) != not) {
                    Some(found) => return Ok(found),
                    None if Instant::now() > until => return Err("no run began".to_owned()),
                    None => pause(10),
                }
            }
        };
        if self.trouble {
            let first = find(None)?;
            pause(300);
            world.executors[first].cut_for(Duration::from_millis(5_500));
            let second = find(Some(first))?;
            pause(700);
            let both = [first, second];
            both.iter().for_each(|number| world.executors[*number].crash());
            pause(3_000);
            both.iter().for_each(|number| world.executors[*number].restart());
        }
        pause(2_000);
        let mut ids = vec![name.clone()];
        for number in 0..5 {
            let name = id(2, number);
            if world.submit(PREFIX, &name, &[Step::new(2, 2_000, 500, 500)]) {
                ids.push(name);
            }
            pause(50);
        }
        pause(10_000);
        let is_failed = |answer: Option<(u16, String)>| {
            answer.is_some_and(|(_, body)| body.contains("\"failed\""))
        };
        let failed: Vec<String> =
            ids.into_iter().filter(|name| is_failed(world.state(PREFIX, name))).collect();
        Ok(self.verdict(&world, "LOST", &failed))
    }

    /// An executor crashes and starts again while orders are carried out late. A call that was meant
    /// for its former life makes it forget ends of the new one.
    pub fn late_seen(&self) -> Result<bool, String> {
        let world = Arc::new(self.world(places(8, 4), 0.25, false)?);
        let (begun, over) = (Instant::now(), Arc::new(AtomicBool::new(false)));
        let (sending, ended) = (Arc::clone(&world), Arc::clone(&over));
        let traffic = thread::spawn(move || {
            let mut number = 0;
            while !ended.load(Ordering::Relaxed) {
                // The ends come evenly, as the steps take different times.
                let steps: Vec<Step> =
                    (0..10).map(|step| Step::new(1, 2_000, 500, 150 + 37 * step)).collect();
                sending.submit(PREFIX, &id(1, number), &steps);
                number += 1;
                pause(60);
            }
        });
        let busiest = || {
            let of = |number: &usize| {
                let (ends, runs) = world.executors[*number].counts();
                (runs >= 5, ends)
            };
            (0..world.executors.len()).max_by_key(of).unwrap_or(0)
        };
        for round in 1..=7 {
            while begun.elapsed() < Duration::from_millis(round * 12_000 - 2_000) {
                pause(10);
            }
            let number = busiest();
            let found = &world.executors[number];
            let (ends, runs) = found.counts();
            world.record.line(&format!("{} has had {ends} ends and has {runs} runs", found.id));
            if self.trouble {
                found.crash();
                pause(3_000);
                world.executors.iter().for_each(|it| it.be_late(0.5, Duration::from_millis(5_500)));
                world.record.line("fault: half of the calls are carried out late for 5500 ms");
                found.restart();
            }
        }
        while begun.elapsed() < Duration::from_secs(97) {
            pause(50);
        }
        over.store(true, Ordering::Relaxed);
        let _ = traffic.join();
        pause(5_000);
        let again = world.record.started_again(|noted| noted == Noted::Yes);
        Ok(self.verdict(&world, "TWICE", &again))
    }

    /// An executor is cut off while a task ends there, and is back before the task has room elsewhere.
    pub fn closed_end(&self) -> Result<bool, String> {
        let world = self.world(places(6, 3), 0.25, true)?;
        // Five of six executors are more than half full.
        for number in 0..5 {
            world.submit(PREFIX, &id(1, number), &[Step::new(1, 40_000, 8_000, 14_000)]);
            pause(150);
        }
        pause(500);
        let name = id(2, 0);
        if !world.submit(PREFIX, &name, &[Step::new(2, 30_000, 8_000, 1_500)]) {
            return Err("the job was not accepted".to_owned());
        }
        let until = Instant::now() + Duration::from_secs(5);
        let found = loop {
            let of = |executor: &Arc<crate::executor::Executor>| executor.runs_job(&name);
            if let Some(found) = world.executors.iter().find(|executor| of(executor)) {
                break found;
            }
            if Instant::now() > until {
                return Err("the job does not start".to_owned());
            }
            pause(10);
        };
        pause(300);
        if self.trouble {
            found.cut_for(Duration::from_millis(5_500));
        }
        pause(14_000);
        world.state(PREFIX, &name);
        let again = world.record.started_again(|noted| noted != Noted::No);
        Ok(self.verdict(&world, "TWICE", &again))
    }

    /// The owner is killed right after a record of its was acknowledged, while many short tasks end.
    pub fn many_ends(&self) -> Result<bool, String> {
        let world = self.world(places(2, 4), 0.25, false)?;
        // Jobs of 50 small tasks each come one after the other and end at the same time. They fill
        // one executor but for a few cores.
        let (begun, end) = (Instant::now(), Duration::from_millis(7_000));
        let mut ids = Vec::new();
        for number in 0..12 {
            let work = end.saturating_sub(begun.elapsed()).as_millis() as u64;
            let name = id(1, number);
            if !world.submit(PREFIX, &name, &[Step::new(50, 100, 100, work)]) {
                return Err("a wide job was not accepted".to_owned());
            }
            ids.push(name);
            pause(250);
        }
        let wide = ids.clone();
        while begun.elapsed() < Duration::from_millis(6_500) {
            pause(5);
        }
        let used: Vec<u64> =
            world.executors.iter().filter_map(|it| it.free()).map(|free| 64_000 - free.0).collect();
        world.record.line(&format!("processor time in use on the executors: {used:?}"));
        if used.iter().all(|used| *used < 55_000) {
            return Err("the wide jobs did not start in time".to_owned());
        }
        // From now on the first transaction of an owner that records runs is its last call.
        let armed = Arc::new(AtomicBool::new(self.trouble));
        let instances = world.instances.clone();
        let record = Arc::clone(&world.record);
        world.store.set_hook(move |machine: &str, call: &Value| {
            let writes = call["writes"].as_array().map_or(&[][..], Vec::as_slice);
            let has_runs = writes.iter().any(|row| {
                row["table"] == "progress"
                    && row["key"].as_str().is_some_and(|key| key.len() == 16 && !wide.iter().any(|id| id == key))
                    && row["value"].as_str().is_some_and(|value| value.len() > 100)
            });
            if has_runs && armed.swap(false, Ordering::Relaxed) {
                if let Some(found) = instances.iter().find(|instance| instance.name == machine) {
                    found.kill_for(Duration::from_millis(3_000), &record);
                    record.line(&format!("fault: {machine} is killed right after a record"));
                }
            }
        });
        for number in 0..10 {
            let name = id(2, number);
            if world.submit(PREFIX, &name, &[Step::new(2, 100, 100, 300)]) {
                ids.push(name);
            }
            pause(30);
        }
        for _ in 0..30 {
            pause(100);
            let kept: Vec<usize> = world.executors.iter().map(|it| it.kept_ends()).collect();
            world.record.line(&format!("ends that the executors keep: {kept:?}"));
        }
        let lost = world.lost(&ids);
        lost.iter().for_each(|name| drop(world.state(PREFIX, name)));
        Ok(self.verdict(&world, "LOST", &lost))
    }

    /// All executors of one rack are lost for good; another rack has the same kind.
    pub fn racks(&self) -> Result<bool, String> {
        // Two racks have kind g. That they have different owners is found by jobs that ask for a rack,
        // of which only those of its owner start.
        let mut executors = places(128, 8);
        for (number, place) in executors.iter_mut().enumerate() {
            if matches!(number / 8, 13 | 14) {
                place.labels[0] = "g".to_owned();
            }
        }
        let world = self.world(executors, 0.12, true)?;
        let racks: Vec<String> = (13..15).map(|rack| format!("r1-{rack}")).collect();
        let even = |number: u64| format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + (number << 8));
        let probes: Vec<String> = (0..2).map(even).collect();
        for (name, rack) in probes.iter().zip(&racks) {
            world.submit(PREFIX, name, &[Step::new(1, 1_000, 500, 200).labelled(rack)]);
        }
        pause(2_000);
        let of_first: Vec<bool> = probes.iter().map(|name| world.record.has_begun(name)).collect();
        for name in &probes {
            world.ask("DELETE", &format!("{PREFIX}{name}"), "");
        }
        world.record.line(&format!("racks {racks:?} of the first owner: {of_first:?}"));
        if of_first.iter().all(|first| *first) || of_first.iter().all(|first| !*first) {
            return Err("all racks have one owner".to_owned());
        }
        let mut ids = Vec::new();
        let send = |from: u64, ids: &mut Vec<String>| {
            for number in from..from + 10 {
                let name = format!("{:016x}", 0x6d1f_8b32_0000_0000_u64 + (number << 34) + number);
                let steps = [Step::new(2, 2_000, 500, 500).labelled("g")];
                if world.submit(PREFIX, &name, &steps) {
                    ids.push(name);
                }
                pause(50);
            }
        };
        send(0, &mut ids);
        pause(1_000);
        if self.trouble {
            let rack = racks.iter().zip(&of_first).find(|(_, first)| **first);
            let rack = rack.map_or("", |(rack, _)| rack.as_str());
            let lost = world.executors.iter().filter(|executor| executor.labels[1] == rack);
            lost.for_each(|executor| executor.lose());
        }
        pause(8_000);
        send(100, &mut ids);
        let lost = world.lost(&ids);
        lost.iter().for_each(|name| drop(world.state(PREFIX, name)));
        Ok(self.verdict(&world, "LOST", &lost))
    }

    /// A rack is lost; jobs that only it can run are placed there and do not begin.
    pub fn pending(&self) -> Result<bool, String> {
        let mut executors = places(64, 8);
        for place in executors.iter_mut().take(8) {
            place.labels[0] = "g".to_owned();
        }
        let world = self.world(executors, 0.25, true)?;
        let ids: Vec<String> = (0..10).map(|number| id(1, number)).collect();
        let steps = [Step::new(1, 2_000, 500, 500).labelled("g")];
        world.submit(PREFIX, &id(2, 0), &steps);
        pause(1_500);
        if self.trouble {
            let lost = world.executors.iter().filter(|executor| executor.labels[0] == "g");
            lost.for_each(|executor| executor.lose());
        }
        pause(300);
        for name in &ids {
            world.submit(PREFIX, name, &steps);
            pause(50);
        }
        // `visible_ms` and 2 s, and a second more.
        pause(6_000);
        let broken = AtomicUsize::new(0);
        let unbegun = ids.iter().filter(|name| !world.record.has_begun(name)).count();
        for _ in 0..6 {
            let answer = world.ask("GET", PREFIX, "");
            let found = answer.as_ref().and_then(|(_, body)| serde_json::from_str::<Value>(body).ok());
            let pending = found.and_then(|body| body["pending"].as_u64());
            world.record.line(&format!("caller: GET {PREFIX} of {HOST} -> {answer:?}; {unbegun} have not begun"));
            if pending.is_some_and(|pending| pending * 2 < unbegun as u64) {
                broken.fetch_add(1, Ordering::Relaxed);
            }
            pause(500);
        }
        let broken = broken.into_inner();
        let names = if broken > 0 { ids } else { Vec::new() };
        Ok(self.verdict(&world, "MIXED", &names))
    }
}
