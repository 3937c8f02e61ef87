//! Counting of missed targets.

use stakker::CX;
use sycamorerill_control::agent::Event;
use sycamorerill_control::penalties::{Minute, Miss, MissId};
use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{ServiceName, TargetName};
use sycamorerill_core::model::Goal;
use sycamorerill_tasks::cell::DeadlineMiss;
use xxhash_rust::xxh3::xxh3_64;

use super::{Control, DeferredResponse};
use crate::event;
use crate::events::Code;

const MS_PER_MINUTE: u64 = 60_000;

impl Control {
    /// Counts the targets that a call missed, then sends the call's response.
    ///
    /// A repeated miss with the same target, minute of `first_sent` and `subject` is
    /// counted once.
    pub(crate) fn count_missed_targets(
        &mut self,
        cx: CX![],
        targets: Vec<TargetName>,
        service: ServiceName,
        subject: u64,
        first_sent: Time,
        deferred: DeferredResponse,
    ) {
        for target in targets {
            let team = self.config.services.get(&service).map(|service| service.team.clone());
            let amount = self.config.targets.get(&target).map(|target| target.penalty);
            if let (Some(team), Some(amount)) = (team, amount) {
                let id = MissId { minute: minute_of(first_sent), target, subject };
                self.add_penalty(Miss { id, team, service: Some(service.clone()), amount });
            }
        }
        self.handle_event(cx, Event::Tick);
        deferred.send();
    }

    /// Counts the targets of a job that missed its deadline.
    pub(crate) fn count_missed_deadline(&mut self, cx: CX![], miss: DeadlineMiss) {
        let subject = xxh3_64(miss.job.bytes());
        let config = std::sync::Arc::clone(&self.config);
        let of_class = config.targets.values().filter(|target| match &target.goal {
            Goal::Deadline { class } => *class == miss.class,
            Goal::Answer { .. } => false,
        });
        for target in of_class {
            let minute = minute_of(miss.deadline);
            let id = MissId { minute, target: target.name.clone(), subject };
            self.deps.shared.metrics.target_missed(target.name.as_str());
            event!(Code::TargetMissed, target = target.name, job = miss.job);
            let missed =
                Miss { id, team: miss.team.clone(), service: None, amount: target.penalty };
            self.add_penalty(missed);
        }
        self.handle_event(cx, Event::Tick);
    }

    fn add_penalty(&mut self, miss: Miss) {
        if let Err(full) = self.deps.agent.add_miss(miss) {
            event!(Code::ControlDecision, decision = full);
        }
    }
}

fn minute_of(time: Time) -> Minute {
    Minute(time.as_ms() / MS_PER_MINUTE)
}
