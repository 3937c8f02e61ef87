//! Review: least time left of a lease in an outage of the store (prints, fails never).
mod support;
use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::spec::Step;

#[test]
fn margin() {
    for latency in [0, 100, 150, 200] {
        let mut least = u64::MAX;
        let mut least_calm = u64::MAX;
        for phase in 0..20 {
            let mut sim = Simulation::new(12);
            sim.probe_latency = Span::from_ms(latency);
            sim.advance(Span::from_secs(2));
            let lasting = Step { long_running: true, max_per_executor: Some(1), ..step(12) };
            sim.submit(job(1), vec![lasting]);
            sim.advance(Span::from_ms(2_000));
            for number in 0..12 {
                let id = format!("x{number}");
                sim.executor(&id).loses_answers = true;
                sim.advance(Span::from_ms(10));
                sim.executor(&id).loses_answers = false;
                sim.advance(Span::from_ms(160));
            }
            sim.advance(Span::from_ms(6_000 + phase * 100));
            for outage in [false, true] {
                sim.store_available = !outage;
                for _ in 0..1_500 {
                    sim.advance(Span::from_ms(10));
                    let now = sim.now;
                    let left = sim.executors.values().map(|e| e.deadline.saturating_sub(e.clock(now).0)).min().unwrap();
                    if outage { least = least.min(left) } else { least_calm = least_calm.min(left) }
                }
            }
        }
        println!("latency {latency}: least left calm {least_calm}, in an outage {least}");
    }
}
