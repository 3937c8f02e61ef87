//! Executes the commands of a shard and reports their outcomes.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::executor::Outcome;
use sycamorerill_jobs::shard::{Command, Event};

use super::owner::OwnedShard;
use super::{MAX_UNCONFIRMED, Message, logging};
use crate::clock;
use crate::instance::{self, Context};
use crate::metrics::Hop;
use crate::platform::{Platform, Probe, Start, Target};

/// Time after a suspension of the process from which on leases are renewed though the claim was not
/// confirmed since: the store is then unavailable, or it would have answered.
const MIN_AWAKE_UNCONFIRMED: Span = Span::from_ms(1_500);

/// Executes one command in a future and reports its outcome to the shard.
///
/// `last_confirmed` is the time of the last confirmation of the claim; a start is not sent
/// when it is too long ago.
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
    let target = |address, executor| Target { address, executor, epoch };
    // Another instance may have claimed the shard while this process was suspended.
    let unconfirmed = started.since(last_confirmed);
    let stale = unconfirmed > MAX_UNCONFIRMED;
    context.suspension.observe(started);
    let awake_since = context.suspension.awake_since();
    let may_renew_leases =
        last_confirmed >= awake_since || started.since(awake_since) >= MIN_AWAKE_UNCONFIRMED;
    match command {
        Command::Start { order, address, text, deadline, checkpoint, ticket } => {
            let outcome = if stale {
                Outcome::NotSent
            } else {
                let (task, run) = (order.task, order.run);
                let start = Start { task, run, text, deadline, checkpoint, ticket };
                platform.start(target(address, order.executor.clone()), start).await
            };
            metrics.observe_hop(Hop::Started, clock::now().since(started));
            metrics.count_order("start", outcome);
            match stale {
                true => logging::start_withheld(epoch, &order, unconfirmed),
                false => logging::outcome("start", epoch, &order, outcome),
            }
            Some(Event::Started(order, outcome))
        }
        Command::Stop { order, address } => {
            let target = target(address, order.executor.clone());
            let outcome = platform.stop(target, order.task, order.run).await;
            metrics.count_order("stop", outcome);
            logging::outcome("stop", epoch, &order, outcome);
            Some(Event::Stopped(order, outcome))
        }
        Command::Throttle { order, address, percent } => {
            let target = target(address, order.executor.clone());
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
        Command::Probe { probe, address, acknowledged, deadline, wait } => {
            let target = target(address, probe.executor.clone());
            let deadline = deadline.filter(|_| may_renew_leases);
            let request = Probe { acknowledged, deadline, wait };
            Some(match platform.probe(target, request).await {
                Ok(report) => Event::Probed(probe, report),
                Err(outcome) => Event::ProbeFailed(probe, outcome),
            })
        }
        Command::Record(_) | Command::Log(_) => None,
    }
}
