//! Exchanges of commands and reports with workers.

use std::collections::BTreeMap;
use std::sync::Arc;

use stakker::CX;
use sycamorerill_clients::{Error, worker as platform};
use sycamorerill_core::id::{DomainName, Epoch, Incarnation, WorkerName};
use sycamorerill_tasks::cell::Event;
use sycamorerill_tasks::worker::Exchange;

use super::{Cells, convert};
use crate::event;
use crate::events::Code;
use crate::hub::message::Message;

/// Last clock reading and incarnation of each worker.
///
/// A clock that runs backwards shows that the worker has restarted.
#[derive(Debug, Default)]
pub(super) struct WorkerClocks(BTreeMap<WorkerName, (Incarnation, platform::ClockReading)>);

impl WorkerClocks {
    /// Records a clock reading and returns the worker's incarnation at that time.
    fn incarnation_at(
        &mut self,
        worker: &WorkerName,
        reading: platform::ClockReading,
    ) -> Incarnation {
        let (incarnation, last) = self.0.entry(worker.clone()).or_default();
        if reading < *last {
            incarnation.0 += 1;
        }
        *last = reading;
        *incarnation
    }
}

impl Cells {
    /// Sends an exchange to a worker on a pool thread.
    pub(super) fn send_exchange(
        &mut self,
        domain: &DomainName,
        worker: WorkerName,
        exchange: Exchange,
    ) {
        let Some(client) = self.clients.get(&worker).cloned() else {
            return;
        };
        let request = convert::to_worker_exchange(&self.deps.name, &exchange, &self.config);
        let (epoch, number) = (exchange.epoch, exchange.number);
        let domain = domain.clone();
        let inbox = self.deps.inbox.clone();
        let shared = Arc::clone(&self.deps.shared);
        shared.metrics.message_sent("exchange");
        self.exchange_pool.run(move || {
            if !shared.is_alive() {
                return;
            }
            let response = client.exchange(&request);
            inbox.send(Message::ExchangeFinished { domain, worker, epoch, number, response });
        });
    }

    /// Handles the result of an exchange with a worker.
    ///
    /// Results of a previous epoch of the cell are ignored.
    pub(crate) fn exchange_finished(
        &mut self,
        cx: CX![],
        domain: DomainName,
        worker: WorkerName,
        epoch: Epoch,
        number: u64,
        response: Result<platform::Response, Error>,
    ) {
        let current =
            self.owned_cells.get(&domain).is_some_and(|owned| owned.cell.epoch() == epoch);
        if !current {
            return;
        }
        let event = match response {
            Ok(response) => {
                self.log_refusals(&worker, &response);
                let incarnation = self.clocks.incarnation_at(&worker, response.clock);
                let report = convert::to_report(response, number, incarnation);
                Event::Reported { worker, report }
            }
            Err(error) => {
                event!(Code::WorkerState, worker = worker, error = error);
                Event::Unreachable(worker)
            }
        };
        self.handle_event(cx, &domain, event);
    }

    fn log_refusals(&self, worker: &WorkerName, response: &platform::Response) {
        for result in &response.results {
            if let platform::Outcome::Refused(refusal) = result {
                event!(Code::WorkerState, worker = worker, refusal = refusal);
            }
        }
    }
}
