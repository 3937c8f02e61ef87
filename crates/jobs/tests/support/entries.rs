//! Simulated executors and their entries in the list.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::executor::{Availability, Incarnation, Registration};
use sycamorerill_jobs::id::{DomainName, ExecutorId, Label, ServiceName};
use sycamorerill_jobs::shard::Event;
use sycamorerill_jobs::spec::Resources;

use super::{FakeExecutor, Simulation};

impl Simulation {
    pub(crate) fn add_executor(&mut self, number: u32) {
        let id = ExecutorId::from(format!("x{number}").as_str());
        let executor = FakeExecutor {
            id: id.clone(),
            address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
            incarnation: self.wall_ms() + u64::from(number),
            started: self.now - Span::from_ms(100),
            clock_at_start: 0,
            clock_percent: 100,
            fence: 0,
            deadline: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            lapsed_end: 0,
            highest_runs: BTreeMap::new(),
            capacity: Resources { cpu: 8_000, memory: 32_000, accelerators: 0 },
            domain: "d",
            warm_at: Time::ZERO,
            reachable: true,
            unreached_by: BTreeSet::new(),
            loses_answers: false,
            delays_orders: false,
            unlisted: false,
            refuses_probes: false,
            replaced: false,
            run_time: Span::from_ms(1_000),
            rack: Label::from("r1"),
            foreign_end: 0,
            checkpoint: String::new(),
            tail_ms: 20,
            list_age: Span::ZERO,
        };
        self.executors.insert(id.clone(), executor);
        self.list_executor(&id);
    }

    /// Reports the list entry of an executor to the shard, as the platform's store does.
    pub(crate) fn list_executor(&mut self, id: &ExecutorId) {
        let entry = self.stale_entries.get(id).cloned();
        let registration = entry.unwrap_or_else(|| self.registration(id));
        self.handle(Event::Listed(Box::new(registration)));
    }

    fn registration(&self, id: &ExecutorId) -> Registration {
        let executor = &self.executors[id];
        Registration {
            id: id.clone(),
            incarnation: Incarnation(executor.incarnation),
            address: executor.address,
            service: ServiceName::from("s"),
            domain: DomainName::from(executor.domain),
            availability: Availability::Ready,
            warm_up: executor.warm_at.since(self.now),
            remaining: None,
            capacity: executor.capacity,
            labels: vec![Label::from("a"), executor.rack.clone()],
            clock: executor.clock(self.now - executor.list_age),
        }
    }

    /// Returns the list entry of an executor.
    pub(crate) fn registration_of(&self, id: &str) -> Registration {
        self.registration(&ExecutorId::from(id))
    }
}
