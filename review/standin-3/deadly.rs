//! BUDGET: a task that crashes each executor that starts it, before the start is answered.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::DEADLY;
use crate::site::{Site, Verdict};

const ID: &str = "00000000000000a1";
const WATCHED: Duration = Duration::from_secs(45);
/// Jobs of other requesters in the same 3 s: the share of `poison` is 0.05.
const OTHERS: u64 = 20;
/// Executors that have crashed under the task, and starts after that which break the rule.
const CRASHED: usize = 3;
const MORE: usize = 3;

pub fn run(case: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let site = Site::start(78, 8, 3, case)?;
    let text = if trouble { DEADLY } else { "ms=500 cpu=500" };
    let work = format!(
        "{{\"task_spec\":\"{text}\",\"steps\":[{{\"count\":1,\"cpu\":500,\"mem_mb\":256,\
         \"est_runtime_ms\":500}}]}}"
    );
    let other = "{\"task_spec\":\"ms=500 cpu=500\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\
                 \"est_runtime_ms\":500}]}";
    let others = (0..OTHERS).filter(|at| {
        thread::sleep(Duration::from_millis(100));
        site.submit(&format!("{:016x}", 0xb000 + at), other)
    });
    let others = others.count();
    if !site.submit(ID, &work) {
        return Err(std::io::Error::other("the job was not accepted"));
    }
    let (since, mut state) = (Instant::now(), String::new());
    while since.elapsed() < WATCHED && state != "completed" && state != "failed" {
        thread::sleep(Duration::from_secs(1));
        state = site.state(ID);
    }
    let mut runs = site.record.runs();
    runs.retain(|run| run.task.starts_with(ID));
    let crashed: Vec<_> =
        runs.iter().filter(|run| run.end.is_some_and(|e| e.1 == "crashed")).collect();
    let third = crashed.get(CRASHED - 1).and_then(|run| run.end).map(|(at, _)| at);
    let more = runs.iter().filter(|run| third.is_some_and(|at| run.from_ms > at)).count();
    let text = format!(
        "result: {} starts of the task, {} executors crashed under it, {more} starts after the third; \
         state `{state}` after {} ms; {others} other jobs accepted",
        runs.len(),
        crashed.len(),
        since.elapsed().as_millis()
    );
    site.record.line(&text);
    println!("{text}");
    Ok(if more >= MORE { Verdict::Broken } else { Verdict::Held })
}
