//! Executes the commands of a shard and reports their outcomes.

use sycamorerill_core::clock::Time;
use sycamorerill_jobs::executor::Outcome;
use sycamorerill_jobs::id::ExecutorId;
use sycamorerill_jobs::shard::{Command, Event};

use super::owner::OwnedShard;
use super::{Message, logging};
use crate::clock;
use crate::instance::{self, Context};
use crate::metrics::Hop;
use crate::platform::{Platform, Probe, Start, Target};

/// Executes one command in a future and reports its outcome to the shard.
///
/// `last_confirmed` is when the last confirmed write under the claim was sent. Starts are not sent
/// when another instance may have claimed the shard since. A deadline is a fixed time, so it renews
/// nothing where it comes late.
pub(super) fn execute<P: Platform>(
    context: &Context<P>,
    owned: OwnedShard,
    last_confirmed: Time,
    command: Command,
) {
    let context = context.clone();
    let spawner = context.spawner.clone();
    spawner.spawn(async move {
        let Some(event) = run_command(&context, owned, last_confirmed, command).await else {
            return;
        };
        let message = Message::Event(owned.shard, owned.epoch, Box::new(event));
        context.send(instance::Message::Manager(message));
    });
}

async fn run_command<P: Platform>(
    context: &Context<P>,
    owned: OwnedShard,
    last_confirmed: Time,
    command: Command,
) -> Option<Event> {
    let (platform, metrics) = (&*context.platform, &*context.metrics);
    let started = clock::now();
    let epoch = owned.epoch;
    let target =
        |executor: &ExecutorId, address| Target { address, executor: executor.clone(), epoch };
    match command {
        Command::Start { order, address, incarnation, text, deadline, checkpoint, ticket } => {
            let target = target(&order.executor, address);
            let before = last_confirmed + owned.predecessor_grace;
            let (task, run) = (order.task, order.run);
            let start =
                Start { incarnation, before, task, run, text, deadline, checkpoint, ticket };
            let outcome = platform.start(target, start).await;
            metrics.observe_hop(Hop::Started, clock::now().since(started));
            metrics.count_order("start", outcome);
            let ended = clock::now();
            match outcome == Outcome::NotSent && ended > before {
                true => logging::start_withheld(epoch, &order, ended.since(last_confirmed)),
                false => logging::outcome("start", epoch, &order, outcome),
            }
            Some(Event::Started(order, outcome))
        }
        Command::Stop { order, address } => {
            let target = target(&order.executor, address);
            let outcome = platform.stop(target, order.task, order.run).await;
            metrics.count_order("stop", outcome);
            logging::outcome("stop", epoch, &order, outcome);
            Some(Event::Stopped(order, outcome))
        }
        Command::Throttle { order, address, percent } => {
            let target = target(&order.executor, address);
            let outcome = platform.throttle(target, order.task, order.run, percent).await;
            metrics.count_order("pace", outcome);
            logging::outcome("pace", epoch, &order, outcome);
            Some(Event::ThrottleCompleted(order, percent, outcome))
        }
        Command::Advise { step, executors } => {
            let advice = platform.advise(step, &executors).await;
            logging::advice(step, &executors, advice.as_ref());
            Some(Event::Advised(step, executors, advice))
        }
        Command::Probe { probe, address, incarnation, acknowledged, deadline, wait } => {
            let target = target(&probe.executor, address);
            let request = Probe { incarnation, acknowledged, deadline, wait };
            Some(match platform.probe(target, request).await {
                Ok(report) => Event::Probed(probe, report),
                Err(outcome) => Event::ProbeFailed(probe, outcome),
            })
        }
        Command::Record(_) | Command::Log(_) => None,
    }
}
