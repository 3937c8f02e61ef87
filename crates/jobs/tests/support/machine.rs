//! An executor of the world.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::executor::{Born, Ended, How, Report, Running, Steady};
use sycamorerill_jobs::id::{ExecutorId, Run, TaskId};
use sycamorerill_jobs::spec::Room;

/// A run at an executor.
#[derive(Clone, Debug)]
pub(crate) struct Live {
    pub(crate) run: Run,
    pub(crate) ends_at: Option<Time>,
    /// Share at which it is let work, in percent.
    pub(crate) percent: u32,
    /// Processor time at full pace, where it fills.
    pub(crate) fills: Option<u64>,
    pub(crate) serves: bool,
}

/// An executor of the world.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) id: ExecutorId,
    pub(crate) address: SocketAddr,
    pub(crate) born: u64,
    pub(crate) started: Time,
    pub(crate) fence: u64,
    pub(crate) deadline: u64,
    pub(crate) running: BTreeMap<TaskId, Live>,
    pub(crate) ended: Vec<Ended>,
    pub(crate) counted: u64,
    pub(crate) highest: BTreeMap<TaskId, Run>,
    pub(crate) room: Room,
    /// Whether it takes orders and answers.
    pub(crate) reachable: bool,
    /// Whether orders get no answer and are kept for later.
    pub(crate) late: bool,
    /// Whether its entry is gone from the list.
    pub(crate) gone: bool,
    /// Whether another executor has its address now.
    pub(crate) replaced: bool,
    pub(crate) run_time: Span,
    /// Tail that its serving tasks report.
    pub(crate) tail_ms: u64,
    /// How old its entry in the list is.
    pub(crate) list_age: Span,
}

impl Machine {
    pub(crate) fn clock(&self, now: Time) -> Steady {
        Steady(now.since(self.started).as_ms())
    }

    pub(crate) fn end(&mut self, task: &TaskId, how: How) {
        if let Some(live) = self.running.remove(task) {
            self.counted += 1;
            self.ended.push(Ended {
                number: self.counted,
                task: *task,
                run: live.run,
                how,
                saved: String::new(),
            });
        }
    }

    /// Lets it crash and come back under the same name.
    pub(crate) fn reborn(&mut self, now: Time, born: u64) {
        self.born = born;
        self.started = now;
        self.fence = 0;
        self.deadline = 0;
        self.running.clear();
        self.ended.clear();
        self.counted = 0;
        self.highest.clear();
    }

    pub(crate) fn report(&self, now: Time) -> Report {
        let running = self.running.iter().map(|(task, live)| Running {
            task: *task,
            run: live.run,
            saved: String::new(),
            percent: 0,
            load: match (live.serves, live.fills) {
                (true, _) => Some(self.tail_ms),
                (_, Some(cpu)) => Some(cpu * u64::from(live.percent) / 100),
                _ => None,
            },
        });
        Report {
            born: Some(Born(self.born)),
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}
