//! Lists the jobs of all entry instances (scatter-gather).

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use stakker::{CX, call};
use sycamorerill_core::api::{Jobs, Kind};
use sycamorerill_core::id::InstanceName;

use super::control::Control;
use crate::http::{Request, Response};

/// Maximum wait for the responses of all instances together.
const GATHER_TIMEOUT: Duration = Duration::from_secs(5);

impl Control {
    /// Answers `GET /v1/jobs` with the jobs of all entry instances.
    pub(crate) fn list_everywhere(
        &mut self,
        _: CX![],
        request: Request,
        respond: Sender<Response>,
    ) {
        let Some(cells) = self.cells().cloned() else {
            return;
        };
        let others: Vec<InstanceName> = self.other_instances().collect();
        let (part, parts) = bounded(others.len() + 1);
        call!([cells], list(part.clone()));
        let mut expected = 1;
        for instance in &others {
            if let Some(address) = self.address_of(instance) {
                call!([cells], forward_operator_request(address, request.clone(), 1, part.clone()));
                expected += 1;
            }
        }
        self.run_gather(move || {
            let response = collect(&parts, expected);
            // The send fails if the operator has disconnected.
            let _ = respond.try_send(response);
        });
    }
}

fn collect(parts: &Receiver<Response>, expected: usize) -> Response {
    let end = Instant::now() + GATHER_TIMEOUT;
    let mut all = Jobs::default();
    for _ in 0..expected {
        let Ok(part) = parts.recv_deadline(end) else {
            let message = "an instance did not tell its jobs in time";
            return Response::failure(Kind::Unavailable, message, "ask again");
        };
        if part.status != 200 {
            // An instance that has ended owns no cells, or its cells move to other owners.
            continue;
        }
        match serde_json::from_slice::<Jobs>(&part.body) {
            Ok(mut jobs) => all.jobs.append(&mut jobs.jobs),
            Err(error) => {
                return Response::failure(Kind::Internal, error, "see the log of the instances");
            }
        }
    }
    all.jobs.sort_by(|one, other| one.name.cmp(&other.name));
    Response::json(200, &all)
}
