//! Exchanges with workers.

use std::collections::BTreeMap;
use std::sync::Arc;

use stakker::CX;
use sycamorerill_clients::{Error, worker as platform};
use sycamorerill_core::id::{DomainName, Epoch, Incarnation, WorkerName};
use sycamorerill_tasks::cell::Event;
use sycamorerill_tasks::worker::Exchange;

use super::{Cells, wire};
use crate::event;
use crate::events::Code;
use crate::hub::message::Message;

/// Clocks of workers as read last, which tell when a worker has started anew.
#[derive(Debug, Default)]
pub(super) struct Clocks(BTreeMap<WorkerName, (Incarnation, platform::Reading)>);

impl Clocks {
    /// Notes a reading and returns the incarnation that it belongs to.
    fn read(&mut self, worker: &WorkerName, reading: platform::Reading) -> Incarnation {
        let (incarnation, last) = self.0.entry(worker.clone()).or_default();
        if reading < *last {
            incarnation.0 += 1;
        }
        *last = reading;
        *incarnation
    }
}

impl Cells {
    /// Sends an exchange to a worker on a thread of its own.
    pub(super) fn exchange(&mut self, domain: &DomainName, worker: WorkerName, exchange: Exchange) {
        let Some(client) = self.clients.get(&worker).cloned() else {
            return;
        };
        let request = wire::exchange(&self.parts.name, &exchange, &self.config);
        let (epoch, number) = (exchange.epoch, exchange.number);
        let domain = domain.clone();
        let inbox = self.parts.inbox.clone();
        let shared = Arc::clone(&self.parts.shared);
        shared.metrics.sent("exchange");
        self.exchanges.run(move || {
            if !shared.is_alive() {
                return;
            }
            let answer = client.exchange(&request);
            inbox.send(Message::Exchanged { domain, worker, epoch, number, answer });
        });
    }

    /// Takes the end of an exchange with a worker.
    pub(crate) fn exchanged(
        &mut self,
        cx: CX![],
        domain: DomainName,
        worker: WorkerName,
        epoch: Epoch,
        number: u64,
        answer: Result<platform::Answer, Error>,
    ) {
        let current = self.hosted.get(&domain).is_some_and(|hosted| hosted.cell.epoch() == epoch);
        if !current {
            return;
        }
        let event = match answer {
            Ok(answer) => {
                self.log_refusals(&worker, &answer);
                let incarnation = self.clocks.read(&worker, answer.clock);
                let report = wire::report(answer, number, incarnation);
                Event::Reported { worker, report }
            }
            Err(error) => {
                event!(Code::WorkerState, worker = worker, error = error);
                Event::Unreachable(worker)
            }
        };
        self.drive(cx, &domain, event);
    }

    fn log_refusals(&self, worker: &WorkerName, answer: &platform::Answer) {
        for result in &answer.results {
            if let platform::Outcome::Refused(refusal) = result {
                event!(Code::WorkerState, worker = worker, refusal = refusal);
            }
        }
    }
}
