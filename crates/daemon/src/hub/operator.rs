//! Passes the requests of operators and submitters to whoever answers them.

use crossbeam_channel::Sender;
use stakker::{Actor, CX, call};
use sycamorerill_core::api::{
    CONFIG_PATH, DRAIN_PATH, Drain, JOBS_PATH, Kind, PENALTIES_PATH, STATUS_PATH, Submission,
};
use sycamorerill_core::id::{DomainName, InstanceName, JobName};

use super::Hub;
use super::answer::{body, give};
use super::cells::not_owned;
use super::control::Control;
use super::message::Message;
use crate::http::{Request, Response};

/// Largest number of times that a request is passed on.
const MAX_HOPS: u8 = 2;

impl Hub {
    /// Answers a request, or passes it to the actor or the instance that does.
    pub(super) fn operate(&mut self, request: Request, hops: u8, respond: Sender<Response>) {
        let head = &request.head;
        match (head.method.as_str(), head.path.as_str()) {
            ("GET", STATUS_PATH) => call!([self.calls], status(respond)),
            ("GET", CONFIG_PATH) => call!([self.control], configuration(respond)),
            ("POST", CONFIG_PATH) => call!([self.control], propose(request, respond)),
            ("GET", PENALTIES_PATH) => call!([self.control], penalties(request, respond)),
            ("POST", DRAIN_PATH) => self.drain_instance(request, hops, respond),
            ("GET", JOBS_PATH) => self.list_jobs(request, hops, respond),
            ("POST", JOBS_PATH) => self.submit(request, hops, respond),
            ("DELETE", path) if path.starts_with(JOBS_PATH) => {
                self.cancel(request, hops, respond);
            }
            (_, STATUS_PATH | CONFIG_PATH | PENALTIES_PATH | DRAIN_PATH | JOBS_PATH) => {
                let message = format!("`{}` is not answered at `{}`", head.method, head.path);
                give(&respond, Response::failure(Kind::Method, message, "see docs/CLI.md"));
            }
            (_, path) => {
                let message = format!("nothing is at `{path}`");
                give(&respond, Response::failure(Kind::NotFound, message, "see docs/CLI.md"));
            }
        }
    }

    fn submit(&mut self, mut request: Request, hops: u8, respond: Sender<Response>) {
        let submission = match body::<Submission>(&request) {
            Ok(submission) => submission,
            Err(response) => return give(&respond, response),
        };
        let name = match self.job_name(&submission) {
            Ok(name) => name,
            Err(response) => return give(&respond, response),
        };
        // The name is fixed here, so that a lost reply can be asked for again.
        let named = Submission { name: Some(name.to_string()), ..submission };
        request.body = serde_json::to_vec(&named).unwrap_or_default().into();
        let Some(domain) = self.shards.home(&name).cloned() else {
            let message = "no failure domain is known";
            return give(&respond, Response::failure(Kind::NotRun, message, "see `--domains`"));
        };
        call!([self.control], at_cell(domain, super::Errand::Submit(name), request, hops, respond));
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
                return give(&respond, failure);
            }
        };
        let Some(domain) = self.shards.home(&name).cloned() else {
            let message = "no failure domain is known";
            return give(&respond, Response::failure(Kind::NotRun, message, "see `--domains`"));
        };
        call!([self.control], at_cell(domain, super::Errand::Cancel(name), request, hops, respond));
    }

    fn list_jobs(&mut self, request: Request, hops: u8, respond: Sender<Response>) {
        if hops > 0 {
            return call!([self.cells], list(respond));
        }
        call!([self.control], list_everywhere(request, respond));
    }

    fn drain_instance(&mut self, request: Request, hops: u8, respond: Sender<Response>) {
        let drain = match body::<Drain>(&request) {
            Ok(drain) => drain,
            Err(response) => return give(&respond, response),
        };
        if drain.instance == self.name.as_str() {
            self.inbox.send(Message::DrainAsked);
            return give(&respond, Response::json(202, &drain));
        }
        let instance = match drain.instance.parse::<InstanceName>() {
            Ok(instance) if hops == 0 => instance,
            _ => {
                let message = format!("no instance is named `{}`", drain.instance);
                return give(&respond, Response::failure(Kind::NotFound, message, "see `status`"));
            }
        };
        call!([self.control], at_instance(instance, request, respond));
    }
}

impl Control {
    /// Hands a request to the cell of `domain`, here or at its owner.
    pub(crate) fn at_cell(
        &mut self,
        _: CX![],
        domain: DomainName,
        errand: super::Errand,
        request: Request,
        hops: u8,
        respond: Sender<Response>,
    ) {
        let Some(cells) = self.cells().cloned() else {
            return;
        };
        match self.owner_of_cell(&domain) {
            Some(owner) if self.is_self(&owner) => match errand {
                super::Errand::Submit(name) => {
                    call!([cells], submit(domain, name, request, respond));
                }
                super::Errand::Cancel(name) => call!([cells], cancel(domain, name, respond)),
            },
            Some(owner) if hops < MAX_HOPS => self.pass_to(&cells, &owner, request, hops, respond),
            _ => give(&respond, not_owned(&domain)),
        }
    }

    /// Hands a request to another instance.
    pub(crate) fn at_instance(
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
            return give(&respond, Response::failure(Kind::NotFound, message, "see `status`"));
        }
        self.pass_to(&cells, &instance, request, 0, respond);
    }

    fn pass_to(
        &self,
        cells: &Actor<super::cells::Cells>,
        instance: &InstanceName,
        request: Request,
        hops: u8,
        respond: Sender<Response>,
    ) {
        let Some(address) = self.address_of(instance) else {
            let message = format!("the address of instance `{instance}` is not known");
            return give(&respond, Response::failure(Kind::NotRun, message, "try again later"));
        };
        call!([cells], pass(address, request, hops + 1, respond));
    }
}
