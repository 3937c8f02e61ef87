//! Executes the commands of a shard and reports their outcomes.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::executor::Outcome;
use sycamorerill_jobs::id::ExecutorId;
use sycamorerill_jobs::shard::{Command, Event};

use super::owner::OwnedShard;
use super::{MAX_UNCONFIRMED, Message, logging};
use crate::clock;
use crate::instance::{self, Context};
use crate::metrics::Hop;
use crate::platform::{Delivery, Platform, Probe, Start, Target};

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
    context.suspension.observe(started);
    let awake_since = context.suspension.awake_since();
    let may_renew_leases =
        last_confirmed >= awake_since || started.since(awake_since) >= MIN_AWAKE_UNCONFIRMED;
    let target =
        |executor: &ExecutorId, address| Target { address, executor: executor.clone(), epoch };
    match command {
        Command::Start { order, address, incarnation, text, deadline, checkpoint, ticket } => {
            let target = target(&order.executor, address);
            // Another instance may have claimed the shard since.
            let delivery = Delivery { incarnation, before: last_confirmed + MAX_UNCONFIRMED };
            let (task, run) = (order.task, order.run);
            let start = Start { delivery, task, run, text, deadline, checkpoint, ticket };
            let outcome = platform.start(target, start).await;
            metrics.observe_hop(Hop::Started, clock::now().since(started));
            metrics.count_order("start", outcome);
            let ended = clock::now();
            match outcome == Outcome::NotSent && ended > delivery.before {
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
            let deadline = deadline.filter(|_| may_renew_leases);
            let delivery = Delivery { incarnation, before: Time::MAX };
            let request = Probe { delivery, acknowledged, deadline, wait };
            Some(match platform.probe(target, request).await {
                Ok(report) => Event::Probed(probe, report),
                Err(outcome) => Event::ProbeFailed(probe, outcome),
            })
        }
        Command::Record(_) | Command::Log(_) => None,
    }
}
