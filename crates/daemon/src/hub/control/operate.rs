//! Answers operators on status, configuration and penalties.

use std::collections::BTreeMap;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use crossbeam_channel::Sender;
use stakker::CX;
use sycamorerill_control::agent::{Event, StatusRow};
use sycamorerill_control::config::{Apply, ApplyId, Outcome};
use sycamorerill_control::membership::Standing;
use sycamorerill_control::penalties::{By, Failure, Minute, Settle, SettleId, Settled};
use sycamorerill_control::store::State;
use sycamorerill_core::api::{
    Accepted, Change, Configuration, Conflict, Detail, Instance, InstanceState, Kind, Penalties,
    Proposal, Row, Status, Store, StoreState, Sum,
};
use sycamorerill_core::id::Version;

use super::{Control, digests};
use crate::event;
use crate::events::Code;
use crate::http::{Request, Response};
use crate::hub::answer::{body, give};
use crate::peer::Load;

/// Advice after a conflict.
const CONFLICT_HINT: &str = "read the newest version, apply your change to it and try again";
/// Advice while the store does not answer.
const STORE_HINT: &str = "nothing was changed; try again when the store answers";

/// Operators that wait for an answer.
#[derive(Default)]
pub(super) struct Questions {
    applies: BTreeMap<ApplyId, Sender<Response>>,
    settles: BTreeMap<SettleId, Sender<Response>>,
    next_settle: u64,
}

impl Control {
    /// Answers `GET /v1/status` with the load of each instance.
    pub(crate) fn status(
        &mut self,
        _: CX![],
        loads: BTreeMap<sycamorerill_core::id::InstanceName, Load>,
        respond: Sender<Response>,
    ) {
        let now = self.parts.shared.clock.now();
        let status = self.parts.agent.status(now);
        let instance = |row: &StatusRow| instance(row, loads.get(&row.instance));
        let in_force_ms = status.everywhere.map(|span| span.as_ms());
        let change = Change { version: status.version.0, in_force_ms };
        let answer = Status {
            instances: status.instances.iter().map(instance).collect(),
            version: status.version.0,
            last_change: (status.version.0 > 0).then_some(change),
            store: Store { state: store_state(status.store) },
        };
        give(&respond, Response::json(200, &answer));
    }

    /// Answers `GET /v1/config`.
    pub(crate) fn configuration(&mut self, _: CX![], respond: Sender<Response>) {
        let version = self.config.version.0;
        let config = BASE64.encode(&self.content);
        give(&respond, Response::json(200, &Configuration { version, config }));
    }

    /// Takes `POST /v1/config`; the answer follows when the agent knows it.
    pub(crate) fn propose(&mut self, cx: CX![], request: Request, respond: Sender<Response>) {
        match self.read_proposal(&request) {
            Ok(apply) => {
                self.questions.applies.insert(apply.id, respond);
                self.drive(cx, Event::Apply(apply));
            }
            Err(response) => give(&respond, response),
        }
    }

    fn read_proposal(&self, request: &Request) -> Result<Apply, Response> {
        let proposal: Proposal = body(request)?;
        let refused = |message: String| {
            Response::failure(Kind::Refused, message, "check the folder with `sycamorerill check`")
        };
        let bytes = BASE64
            .decode(&proposal.config)
            .map_err(|error| refused(format!("the configuration is not base64: {error}")))?
            .into();
        let config = sycamorerill_config::decode(&bytes)
            .map_err(|error| refused(format!("the configuration cannot be read: {error}")))?;
        let missing =
            config.domains.keys().find(|domain| !self.parts.shards.cells.contains(domain));
        if let Some(domain) = missing {
            return Err(refused(format!("failure domain `{domain}` is not in `--domains`")));
        }
        Ok(Apply {
            id: ApplyId(fastrand::u64(..)),
            seen: Version(proposal.base_version),
            author: proposal.author,
            keys: digests::of(&config),
            bytes,
        })
    }

    pub(super) fn applied(&mut self, id: ApplyId, outcome: Outcome) {
        let Some(respond) = self.questions.applies.remove(&id) else {
            return;
        };
        if !matches!(outcome, Outcome::Accepted(_)) {
            event!(Code::ConfigRefused, reason = outcome.as_str());
        }
        give(&respond, applied(outcome));
    }

    /// Takes `GET /v1/penalties`; the answer follows when the agent knows it.
    pub(crate) fn penalties(&mut self, cx: CX![], request: Request, respond: Sender<Response>) {
        match self.read_settle(&request) {
            Ok(settle) => {
                self.questions.settles.insert(settle.id, respond);
                self.drive(cx, Event::Settle(settle));
            }
            Err(response) => give(&respond, response),
        }
    }

    fn read_settle(&mut self, request: &Request) -> Result<Settle, Response> {
        let head = &request.head;
        let by = match head.parameter("by").unwrap_or("target").parse::<By>() {
            Ok(by) => by,
            Err(error) => {
                return Err(Response::failure(Kind::Malformed, error, "see `penalties --help`"));
            }
        };
        let last = self.parts.shared.clock.now().as_ms() / 60_000 + 1;
        let from = minute(head.parameter("from"), 0)?;
        let to = minute(head.parameter("to"), last)?;
        self.questions.next_settle += 1;
        let id = SettleId(self.questions.next_settle);
        Ok(Settle { id, from, to, by })
    }

    pub(super) fn settled(&mut self, id: SettleId, outcome: Result<Settled, Failure>) {
        let Some(respond) = self.questions.settles.remove(&id) else {
            return;
        };
        let response = match outcome {
            Ok(settled) => Response::json(200, &totals(settled)),
            Err(error @ Failure::StoreDown) => {
                Response::failure(Kind::Unavailable, error, STORE_HINT)
            }
            Err(error) => Response::failure(Kind::Internal, error, "see docs/OPERATIONS.md"),
        };
        give(&respond, response);
    }
}

/// Reads a time as milliseconds since the Unix epoch.
fn minute(text: Option<&str>, default: u64) -> Result<Minute, Response> {
    let Some(text) = text.filter(|text| !text.is_empty()) else {
        return Ok(Minute(default));
    };
    let wrong = |_| {
        let message = format!("`{text}` is not a time, expected milliseconds since 1970");
        Response::failure(Kind::Malformed, message, "give `from` and `to` in milliseconds")
    };
    text.parse::<u64>().map(|ms| Minute(ms / 60_000)).map_err(wrong)
}

fn applied(outcome: Outcome) -> Response {
    match outcome {
        Outcome::Accepted(version) => Response::json(200, &Accepted { version: version.0 }),
        Outcome::Conflict { current, keys } => {
            let message = format!("version {} was accepted meanwhile", current.0);
            let error = Detail { kind: Kind::Conflict, message, hint: CONFLICT_HINT.to_owned() };
            let keys = keys.into_iter().collect();
            Response::json(409, &Conflict { error, version: current.0, keys })
        }
        Outcome::StoreDown => {
            Response::failure(Kind::Unavailable, "the store does not answer", STORE_HINT)
        }
        Outcome::Unknown => {
            let message = "the store did not answer in time, so the change may have been accepted";
            Response::failure(Kind::Unknown, message, "see `sycamorerill status`")
        }
    }
}

fn totals(settled: Settled) -> Penalties {
    let rows: Vec<Row> = settled
        .totals
        .into_iter()
        .map(|total| Row { key: total.name, missed: total.misses, penalty: total.amount.0 })
        .collect();
    let missed = rows.iter().map(|row| row.missed).sum();
    Penalties { rows, total: Sum { missed, penalty: settled.amount.0 } }
}

fn instance(row: &StatusRow, load: Option<&Load>) -> Instance {
    let free = load.map(|load| load.calls.services.values().map(|load| load.free).sum());
    Instance {
        name: row.instance.to_string(),
        domain: row.domain.to_string(),
        state: standing(row.standing),
        incarnation: row.incarnation.0,
        version: row.version.0,
        free_slots: free.unwrap_or(0),
        running_tasks: load.map_or(0, |load| u64::from(load.running_tasks)),
    }
}

fn standing(standing: Standing) -> InstanceState {
    match standing {
        Standing::Joining | Standing::Serving => InstanceState::Alive,
        Standing::Suspect => InstanceState::Suspect,
        Standing::Draining => InstanceState::Draining,
        Standing::Gone => InstanceState::Dead,
    }
}

fn store_state(state: State) -> StoreState {
    match state {
        State::Up => StoreState::Up,
        State::Down => StoreState::Down,
    }
}
