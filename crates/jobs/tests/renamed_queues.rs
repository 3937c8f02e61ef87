//! Jobs in progress while an operator renames or removes their queue.

mod support;

use std::sync::Arc;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::config::{Config, Queue};
use sycamorerill_jobs::id::{QueueName, ServiceName};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::shard::Event;
use sycamorerill_jobs::spec::Step;

/// Replaces the only queue by one of another name and service at the same path.
fn rename(sim: &mut Simulation) {
    let mut config = Config::clone(&sim.config);
    let (name, service) = (QueueName::from("q2"), ServiceName::from("s2"));
    let queues = std::mem::take(&mut config.queues).into_values();
    let renamed =
        queues.map(|queue| Queue { name: name.clone(), service: service.clone(), ..queue });
    config.queues = renamed.map(|queue| (queue.name.clone(), queue)).collect();
    config.version += 1;
    sim.config = Arc::new(config);
    sim.handle(Event::Configured(Arc::clone(&sim.config)));
}

/// Returns a simulation whose queue was renamed while the first step of job 1 ran.
fn renamed(stores_terms: bool) -> Simulation {
    let mut sim = Simulation::new(2);
    if !stores_terms {
        sim.config = Arc::new(Config { queues: [].into(), ..Config::clone(&sim.config) });
    }
    sim.submit(job(1), vec![step(2), Step { depends_on: vec![0], ..step(2) }]);
    if !stores_terms {
        sim.config = Arc::clone(&Simulation::new(0).config);
    }
    sim.advance(Span::from_ms(300));
    assert_eq!(sim.run_count(), 2);
    rename(&mut sim);
    sim
}

/// The later steps of the jobs were never placed. They go on under the service that their own
/// queue had.
#[test]
fn jobs_of_a_renamed_queue_go_on() {
    let mut sim = renamed(true);
    sim.advance(Span::from_secs(4));
    assert_eq!(sim.state(1), Some(State::Completed));
}

/// A successor knows only the configuration without the queue.
#[test]
fn jobs_of_a_renamed_queue_go_on_after_a_takeover() {
    let mut sim = renamed(true);
    sim.take_over();
    sim.advance(Span::from_secs(4));
    assert_eq!(sim.state(1), Some(State::Completed));
}

/// Rows of earlier versions hold no settings; the owner that sees the change keeps them.
#[test]
fn jobs_of_an_earlier_version_go_on_under_the_settings_last_in_force() {
    let mut sim = renamed(false);
    assert!(sim.accepted.values().all(|accepted| accepted.terms.is_none()));
    sim.advance(Span::from_secs(4));
    assert_eq!(sim.state(1), Some(State::Completed));
}
