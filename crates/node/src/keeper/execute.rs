//! Carries out what a shard asks for, and reports the outcome.

use sycamorerill_core::clock::Time;
use sycamorerill_jobs::executor::Answer;
use sycamorerill_jobs::shard::{Command, Event};

use super::owner::Place;
use super::{Message, ORDER_UNCONFIRMED, note};
use crate::clock;
use crate::metrics::Hop;
use crate::port::{Look, Order, Platform, Start};
use crate::run::{self, Outside};

/// Carries out one order and reports its outcome to the shard.
pub(super) fn execute<P: Platform>(
    outside: &Outside<P>,
    place: Place,
    confirmed: Time,
    command: Command,
) {
    let outside = outside.clone();
    let spawner = outside.spawner.clone();
    spawner.spawn(async move {
        let Some(event) = outcome(&outside, place, confirmed, command).await else {
            return;
        };
        let message = Message::Event(place.shard, place.epoch, Box::new(event));
        outside.tell(run::Message::Keeper(message));
    });
}

async fn outcome<P: Platform>(
    outside: &Outside<P>,
    place: Place,
    confirmed: Time,
    command: Command,
) -> Option<Event> {
    let (platform, metrics) = (&*outside.platform, &*outside.metrics);
    let begun = clock::now();
    let epoch = place.epoch;
    let to = |address, executor| Order { address, executor, epoch };
    // A process that was suspended may have been replaced meanwhile.
    let stale = begun.since(confirmed) > ORDER_UNCONFIRMED;
    match command {
        Command::Start { order, address, text, deadline, saved, ticket } => {
            let answer = if stale {
                Answer::NotSent
            } else {
                let (task, run) = (order.task, order.run);
                let start = Start { task, run, text, deadline, saved, ticket };
                platform.start(to(address, order.executor.clone()), start).await
            };
            metrics.passed(Hop::Started, clock::now().since(begun));
            metrics.ordered("start", answer);
            note::answer("start", &order, answer);
            Some(Event::Started(order, answer))
        }
        Command::Stop { order, address } => {
            let to = to(address, order.executor.clone());
            let answer = platform.stop(to, order.task, order.run).await;
            metrics.ordered("stop", answer);
            note::answer("stop", &order, answer);
            Some(Event::Stopped(order, answer))
        }
        Command::Pace { order, address, percent } => {
            let to = to(address, order.executor.clone());
            let answer = platform.pace(to, order.task, order.run, percent).await;
            metrics.ordered("pace", answer);
            note::answer("pace", &order, answer);
            Some(Event::Paced(order, percent, answer))
        }
        Command::Advise { step, executors } => {
            let permits = platform.advise(step, &executors).await;
            note::advised(step, &executors, permits.as_ref());
            Some(Event::Advised(step, executors, permits))
        }
        Command::Look { glance, address, seen, deadline, wait } => {
            let to = to(address, glance.executor.clone());
            let look = Look { seen, deadline, wait };
            Some(match platform.look(to, look).await {
                Ok(report) => Event::Looked(glance, report),
                Err(answer) => Event::NotLooked(glance, answer),
            })
        }
        Command::Record(_) | Command::Log(_) => None,
    }
}
