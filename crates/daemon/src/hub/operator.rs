//! Routing of requests of operators and submitters to the actor or instance that answers
//! them.

use crossbeam_channel::Sender;
use stakker::{Actor, CX, call};
use sycamorerill_core::api::{
    CONFIG_PATH, DRAIN_PATH, Drain, JOBS_PATH, Kind, PENALTIES_PATH, STATUS_PATH, Submission,
};
use sycamorerill_core::id::{DomainName, InstanceName, JobName};

use super::Hub;
use super::cells::no_owner_response;
use super::control::Control;
use super::message::Message;
use super::response::{parse_body, send_response};
use crate::http::{Request, Response};

/// Maximum number of times that a request is forwarded between instances.
const MAX_HOPS: u8 = 2;

impl Hub {
    /// Routes a request to the actor or instance that answers it.
    pub(super) fn handle_operator_request(
        &mut self,
        request: Request,
        hops: u8,
        respond: Sender<Response>,
    ) {
        let head = &request.head;
        match (head.method.as_str(), head.path.as_str()) {
            ("GET", STATUS_PATH) => call!([self.calls], status(respond)),
            ("GET", CONFIG_PATH) => call!([self.control], configuration(respond)),
            ("POST", CONFIG_PATH) => call!([self.control], propose_config(request, respond)),
            ("GET", PENALTIES_PATH) => call!([self.control], penalties(request, respond)),
            ("POST", DRAIN_PATH) => self.drain_instance(request, hops, respond),
            ("GET", JOBS_PATH) => self.list_jobs(request, hops, respond),
            ("POST", JOBS_PATH) => self.submit(request, hops, respond),
            ("DELETE", path) if path.starts_with(JOBS_PATH) => {
                self.cancel(request, hops, respond);
            }
            (_, STATUS_PATH | CONFIG_PATH | PENALTIES_PATH | DRAIN_PATH | JOBS_PATH) => {
                let message = format!("`{}` is not answered at `{}`", head.method, head.path);
                send_response(
                    &respond,
                    Response::failure(Kind::Method, message, "see docs/CLI.md"),
                );
            }
            (_, path) => {
                let message = format!("nothing is at `{path}`");
                send_response(
                    &respond,
                    Response::failure(Kind::NotFound, message, "see docs/CLI.md"),
                );
            }
        }
    }

    fn submit(&mut self, mut request: Request, hops: u8, respond: Sender<Response>) {
        let submission = match parse_body::<Submission>(&request) {
            Ok(submission) => submission,
            Err(response) => return send_response(&respond, response),
        };
        let name = match self.job_name(&submission) {
            Ok(name) => name,
            Err(response) => return send_response(&respond, response),
        };
        // The name is set before forwarding, so that a submission can be retried under
        // the same name when the reply is lost.
        let named = Submission { name: Some(name.to_string()), ..submission };
        request.body = serde_json::to_vec(&named).unwrap_or_default().into();
        let Some(domain) = self.shards.home_domain(&name).cloned() else {
            let message = "no failure domain is known";
            return send_response(
                &respond,
                Response::failure(Kind::NotRun, message, "see `--domains`"),
            );
        };
        call!(
            [self.control],
            handle_at_cell(domain, super::JobCommand::Submit(name), request, hops, respond)
        );
    }

    fn job_name(&mut self, submission: &Submission) -> Result<JobName, Response> {
        let text = match &submission.name {
            Some(name) => name.clone(),
            None => format!("{}-{}", self.prefix, self.shared.next_call().0),
        };
        text.parse().map_err(|error| {
            let message = format!("the name of the job cannot be read: {error}");
            Response::failure(Kind::Malformed, message, "choose another name")
        })
    }

    fn cancel(&mut self, request: Request, hops: u8, respond: Sender<Response>) {
        let name = request.head.path.trim_start_matches(JOBS_PATH).trim_start_matches('/');
        let name: JobName = match name.parse() {
            Ok(name) => name,
            Err(error) => {
                let failure = Response::failure(Kind::Malformed, error, "give the job's name");
                return send_response(&respond, failure);
            }
        };
        let Some(domain) = self.shards.home_domain(&name).cloned() else {
            let message = "no failure domain is known";
            return send_response(
                &respond,
                Response::failure(Kind::NotRun, message, "see `--domains`"),
            );
        };
        call!(
            [self.control],
            handle_at_cell(domain, super::JobCommand::Cancel(name), request, hops, respond)
        );
    }

    fn list_jobs(&mut self, request: Request, hops: u8, respond: Sender<Response>) {
        if hops > 0 {
            return call!([self.cells], list(respond));
        }
        call!([self.control], list_everywhere(request, respond));
    }

    fn drain_instance(&mut self, request: Request, hops: u8, respond: Sender<Response>) {
        let drain = match parse_body::<Drain>(&request) {
            Ok(drain) => drain,
            Err(response) => return send_response(&respond, response),
        };
        if drain.instance == self.name.as_str() {
            self.inbox.send(Message::DrainRequested);
            return send_response(&respond, Response::json(202, &drain));
        }
        let instance = match drain.instance.parse::<InstanceName>() {
            Ok(instance) if hops == 0 => instance,
            _ => {
                let message = format!("no instance is named `{}`", drain.instance);
                return send_response(
                    &respond,
                    Response::failure(Kind::NotFound, message, "see `status`"),
                );
            }
        };
        call!([self.control], handle_at_instance(instance, request, respond));
    }
}

impl Control {
    /// Executes a command on the cell of `domain`, or forwards the request to the cell's
    /// owner.
    pub(crate) fn handle_at_cell(
        &mut self,
        _: CX![],
        domain: DomainName,
        command: super::JobCommand,
        request: Request,
        hops: u8,
        respond: Sender<Response>,
    ) {
        let Some(cells) = self.cells().cloned() else {
            return;
        };
        match self.owner_of_cell(&domain) {
            Some(owner) if self.is_self(&owner) => match command {
                super::JobCommand::Submit(name) => {
                    call!([cells], submit(domain, name, request, respond));
                }
                super::JobCommand::Cancel(name) => call!([cells], cancel(domain, name, respond)),
            },
            Some(owner) if hops < MAX_HOPS => {
                self.forward_to(&cells, &owner, request, hops, respond)
            }
            _ => send_response(&respond, no_owner_response(&domain)),
        }
    }

    /// Forwards a request to another instance.
    pub(crate) fn handle_at_instance(
        &mut self,
        _: CX![],
        instance: InstanceName,
        request: Request,
        respond: Sender<Response>,
    ) {
        let Some(cells) = self.cells().cloned() else {
            return;
        };
        if self.address_of(&instance).is_none() {
            let message = format!("no instance is named `{instance}`");
            return send_response(
                &respond,
                Response::failure(Kind::NotFound, message, "see `status`"),
            );
        }
        self.forward_to(&cells, &instance, request, 0, respond);
    }

    fn forward_to(
        &self,
        cells: &Actor<super::cells::Cells>,
        instance: &InstanceName,
        request: Request,
        hops: u8,
        respond: Sender<Response>,
    ) {
        let Some(address) = self.address_of(instance) else {
            let message = format!("the address of instance `{instance}` is not known");
            return send_response(
                &respond,
                Response::failure(Kind::NotRun, message, "try again later"),
            );
        };
        call!([cells], forward_operator_request(address, request, hops + 1, respond));
    }
}
