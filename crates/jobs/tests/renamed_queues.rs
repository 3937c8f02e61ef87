//! Jobs in progress while an operator renames or removes their queue.

mod support;

use std::sync::Arc;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::config::{Config, Queue};
use sycamorerill_jobs::id::{QueueName, ServiceName};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::shard::{Decision, Event};
use sycamorerill_jobs::spec::{Job, Step};

/// Puts a version of the configuration into force with these queues, each with its name, path and
/// service.
fn configure(sim: &mut Simulation, queues: &[(&str, &str, &str)]) {
    let pattern = sim
        .config
        .queues
        .values()
        .next()
        .cloned()
        .unwrap_or_else(|| Simulation::new(0).config.queues[&QueueName::from("q")].clone());
    let queue = |(name, prefix, service): &(&str, &str, &str)| {
        let (name, prefix) = (QueueName::from(*name), (*prefix).to_owned());
        let service = ServiceName::from(*service);
        (name.clone(), Queue { name, prefix, service, ..pattern.clone() })
    };
    let queues = queues.iter().map(queue).collect();
    let version = sim.config.version + 1;
    sim.config = Arc::new(Config { version, queues, ..Config::clone(&sim.config) });
    sim.handle(Event::Configured(Arc::clone(&sim.config)));
}

/// Replaces the only queue by one of another name and service at the same path.
fn rename(sim: &mut Simulation) {
    configure(sim, &[("q2", "/q/", "s2")]);
}

/// Returns two steps, of which the second begins after a second.
fn two_steps() -> Vec<Step> {
    vec![step(2), Step { depends_on: vec![0], ..step(2) }]
}

fn assert_completed(mut sim: Simulation) {
    sim.advance(Span::from_secs(4));
    assert_eq!(sim.state(1), Some(State::Completed));
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

/// A successor of the owner that saw the change knows neither the queue nor, from the row, its
/// settings. An owner has to record them while the configuration names the queue.
#[test]
fn jobs_of_an_earlier_version_go_on_after_a_takeover() {
    for takes_over_before in [false, true] {
        let mut sim = Simulation::new(2);
        sim.submit(job(1), two_steps());
        if let Some(accepted) = sim.accepted.get_mut(&job(1)) {
            accepted.terms = None;
        }
        if takes_over_before {
            sim.take_over();
        } else {
            let accepted = sim.accepted[&job(1)].clone();
            sim.restart_shard();
            sim.handle(Event::Accepted(job(1), Box::new(accepted)));
        }
        sim.advance(Span::from_ms(300));
        rename(&mut sim);
        sim.take_over();
        assert_completed(sim);
    }
}

/// The settings of the acceptance may be outdated when the queue goes: its former service has no
/// executors any more.
#[test]
fn jobs_go_on_under_the_settings_last_in_force_after_a_takeover() {
    let mut sim = Simulation::new(2);
    configure(&mut sim, &[("q", "/q/", "former")]);
    sim.submit(job(1), two_steps());
    sim.advance(Span::from_ms(300));
    assert_eq!(sim.run_count(), 0);
    configure(&mut sim, &[("q", "/q/", "s")]);
    sim.advance(Span::from_ms(300));
    rename(&mut sim);
    sim.advance(Span::from_ms(100));
    sim.take_over();
    assert_completed(sim);
}

/// Each owner sees one of the changes.
#[test]
fn jobs_go_on_after_two_renames_and_one_back() {
    for back in [false, true] {
        let mut sim = Simulation::new(2);
        sim.submit(job(1), two_steps());
        sim.advance(Span::from_ms(300));
        rename(&mut sim);
        sim.take_over();
        sim.advance(Span::from_ms(100));
        let (name, service) = if back { ("q", "s") } else { ("q3", "s3") };
        configure(&mut sim, &[(name, "/q/", service)]);
        sim.advance(Span::from_ms(100));
        sim.take_over();
        assert_completed(sim);
    }
}

/// All instances restart, and find a configuration in which another queue, on a service without
/// executors, has the name.
#[test]
fn jobs_go_on_beside_another_queue_of_their_name() {
    for is_seen in [false, true] {
        let mut sim = Simulation::new(2);
        sim.submit(job(1), two_steps());
        sim.advance(Span::from_ms(300));
        configure(&mut sim, &[("q2", "/q/", "s"), ("q", "/other/", "s2")]);
        if is_seen {
            sim.advance(Span::from_ms(100));
        }
        sim.take_over();
        assert_completed(sim);
    }
}

/// A queue that moves to another service at its path takes its jobs along.
#[test]
fn jobs_follow_their_queue_to_another_service() {
    let mut sim = Simulation::new(2);
    configure(&mut sim, &[("q", "/q/", "former")]);
    sim.submit(job(1), two_steps());
    sim.advance(Span::from_ms(300));
    configure(&mut sim, &[("q", "/q/", "s")]);
    sim.take_over();
    assert_completed(sim);
}

/// The queue is renamed while the store is away, and the owner is replaced before it has recorded
/// anything.
#[test]
fn jobs_go_on_after_a_rename_during_an_outage() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), two_steps());
    sim.advance(Span::from_ms(300));
    sim.store_available = false;
    rename(&mut sim);
    sim.advance(Span::from_secs(2));
    sim.take_over();
    sim.store_available = true;
    sim.advance(Span::from_secs(8));
    assert_completed(sim);
}

/// Jobs of a renamed queue used all executors and counted for none, so that a third queue seemed to
/// use more than its share.
#[test]
fn jobs_of_a_renamed_queue_count_as_use() {
    for takes_over in [false, true] {
        let mut sim = Simulation::new(2);
        configure(&mut sim, &[("q", "/q/", "s"), ("calm", "/calm/", "s")]);
        for id in 1..40 {
            sim.submit(job(id), vec![step(8)]);
        }
        sim.advance(Span::from_ms(100));
        configure(&mut sim, &[("q2", "/q/", "s"), ("calm", "/calm/", "s")]);
        if takes_over {
            sim.take_over();
        }
        for id in 100..112 {
            let text = "text".to_owned();
            let steps = vec![step(1)];
            let (queue, at_ms) = (if id % 2 == 0 { "q2" } else { "calm" }, sim.wall_ms());
            sim.submit_to(queue, job(id), Job { text, steps, schedule: None }, at_ms);
            sim.advance(Span::from_ms(200));
        }
        let held_back = |found: &&Decision| matches!(found, Decision::HeldBack { queue, .. } if queue.as_str() == "calm");
        assert_eq!(sim.decisions.iter().find(held_back), None);
        let is_held_back = |found: &Decision| matches!(found, Decision::HeldBack { queue, .. } if queue.as_str() == "q");
        assert!(sim.decisions.iter().any(is_held_back));
    }
}

/// Callers of a queue of a lower priority wait behind the work of a renamed one, whose own name has no
/// outlook any more.
#[test]
fn work_of_a_renamed_queue_counts_in_outlooks() {
    for takes_over in [false, true] {
        let mut sim = Simulation::new(2);
        let pattern = sim.config.queues[&QueueName::from("q")].clone();
        configure(&mut sim, &[("q", "/q/", "s"), ("low", "/low/", "s")]);
        let mut config = Config::clone(&sim.config);
        let low = Queue { priority: 1, ..config.queues[&QueueName::from("low")].clone() };
        config.queues = [pattern, low.clone()].map(|queue| (queue.name.clone(), queue)).into();
        config.version += 1;
        sim.handle(Event::Configured(Arc::new(config.clone())));
        for id in 1..40 {
            sim.submit(job(id), vec![Step { estimate_ms: 60_000, ..step(64) }]);
        }
        config.queues = [(low.name.clone(), low)].into();
        config.version += 1;
        sim.config = Arc::new(config);
        sim.handle(Event::Configured(Arc::clone(&sim.config)));
        if takes_over {
            sim.take_over();
        }
        let (text, at_ms) = ("text".to_owned(), sim.wall_ms());
        let waiting = Job { text, steps: vec![step(1)], schedule: None };
        sim.submit_to("low", job(100), waiting, at_ms);
        sim.advance(Span::from_secs(10));
        let names: Vec<QueueName> =
            sim.outlook.iter().flat_map(|found| found.wait_ms.keys().cloned()).collect();
        assert_eq!(names, [QueueName::from("low")]);
    }
}
