//! LOST: an executor crashes once, just after it has started all tasks of a gang.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{Site, Verdict};

const ID: &str = "00000000000000a1";
const LATE: &str = "00000000000000c3";
const OTHER: &str = "00000000000000b2";
const EXECUTORS: usize = 8;
const TASKS: usize = 10;
/// Time from the start of the gang to the crash, and from then until the executor is back.
const BEFORE: Duration = Duration::from_millis(1_000);
const AWAY: Duration = Duration::from_millis(3_000);
/// `recovery_s` and `finish_s`.
const AFTER: Duration = Duration::from_secs(12 + 14);
/// Time for which the job must stand still.
const STILL: Duration = Duration::from_secs(10);

pub fn run(case: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let site = Site::start(79, EXECUTORS, 3, case)?;
    let work = format!(
        "{{\"task_spec\":\"ms=3000 gang={TASKS}\",\"steps\":[{{\"count\":{TASKS},\"cpu\":500,\
         \"mem_mb\":256,\"est_runtime_ms\":3000,\"gang_scheduled\":true}}]}}"
    );
    if !site.submit(ID, &work) {
        return Err(std::io::Error::other("the job was not accepted"));
    }
    let busy = || site.executors.iter().filter(|found| found.running() > 0).collect::<Vec<_>>();
    let since = Instant::now();
    while site.running() < TASKS && since.elapsed() < Duration::from_secs(5) {
        thread::sleep(Duration::from_millis(20));
    }
    if trouble {
        thread::sleep(BEFORE);
        let first = busy().first().copied().cloned();
        let Some(first) = first else {
            return Err(std::io::Error::other("the gang was not started"));
        };
        site.record.line(&format!("disruption: {} with {} runs", first.id, first.running()));
        first.crash_for(AWAY);
        thread::sleep(AWAY);
    }
    let back = Instant::now();
    while back.elapsed() < AFTER && site.state(ID) != "completed" {
        thread::sleep(Duration::from_secs(1));
    }
    // Its tasks run longer than their estimates, so that it is late when its second step is ready.
    let late = "{\"task_spec\":\"ms=6000\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,\
                \"est_runtime_ms\":200},{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"est_runtime_ms\":200,\
                \"depends_on\":[0]}]}";
    let other = "{\"task_spec\":\"ms=500\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256}]}";
    let accepted = site.submit(LATE, late);
    let (mut still, mut from) = (Duration::ZERO, Instant::now());
    let until = Instant::now() + Duration::from_secs(6) + STILL * 2;
    let (mut state, mut late) = (String::new(), String::new());
    while (state != "completed" || late != "completed") && Instant::now() < until {
        if site.running() > 0 {
            from = Instant::now();
        }
        still = still.max(from.elapsed());
        thread::sleep(Duration::from_millis(200));
        (state, late) = (site.state(ID), site.state(LATE));
    }
    let served = site.submit(OTHER, other) && site.wait_for(OTHER, Duration::from_secs(10));
    let runs = site.record.runs();
    let starts = runs.iter().filter(|run| run.task.starts_with(ID)).count();
    let text = format!(
        "result: state `{state}`, {starts} starts of the {TASKS} tasks, nothing at work for {} ms on \
         {EXECUTORS} idle executors; a late job: accepted {accepted}, state `{late}`; a new job completed: \
         {served}",
        still.as_millis()
    );
    site.record.line(&text);
    println!("{text}");
    let is_broken = (state != "completed" || late != "completed") && still >= STILL;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
