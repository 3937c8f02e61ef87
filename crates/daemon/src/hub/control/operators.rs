//! Operator requests for status, configuration and penalties.

use std::collections::BTreeMap;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use crossbeam_channel::Sender;
use stakker::CX;
use sycamorerill_control::agent::{Event, StatusRow};
use sycamorerill_control::config::{Apply, ApplyId, Outcome};
use sycamorerill_control::membership::MemberState;
use sycamorerill_control::penalties::{
    Failure, GroupBy, Minute, SettleId, SettleRequest, Settlement,
};
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
use crate::hub::response::{parse_body, send_response};
use crate::peer::Load;

/// Hint after a conflicting configuration change.
const CONFLICT_HINT: &str = "read the newest version, apply your change to it and try again";
/// Hint while the store is unavailable.
const STORE_HINT: &str = "nothing was changed; try again when the store answers";

/// Requests of operators that have no response yet.
#[derive(Default)]
pub(super) struct OperatorRequests {
    applies: BTreeMap<ApplyId, Sender<Response>>,
    settles: BTreeMap<SettleId, Sender<Response>>,
    next_settle: u64,
}

impl Control {
    /// Answers `GET /v1/status`, given the load of each instance.
    pub(crate) fn status(
        &mut self,
        _: CX![],
        loads: BTreeMap<sycamorerill_core::id::InstanceName, Load>,
        respond: Sender<Response>,
    ) {
        let now = self.deps.shared.clock.now();
        let status = self.deps.agent.status(now);
        let instance = |row: &StatusRow| describe_instance(row, loads.get(&row.instance));
        let in_force_ms = status.spread_time.map(|span| span.as_ms());
        let change = Change { version: status.version.0, in_force_ms };
        let answer = Status {
            instances: status.instances.iter().map(instance).collect(),
            version: status.version.0,
            last_change: (status.version.0 > 0).then_some(change),
            store: Store { state: store_state(status.store) },
        };
        send_response(&respond, Response::json(200, &answer));
    }

    /// Answers `GET /v1/config`.
    pub(crate) fn configuration(&mut self, _: CX![], respond: Sender<Response>) {
        let version = self.config.version.0;
        let config = BASE64.encode(&self.config_bytes);
        send_response(&respond, Response::json(200, &Configuration { version, config }));
    }

    /// Handles `POST /v1/config`.
    ///
    /// The response is sent when the agent reports the outcome.
    pub(crate) fn propose_config(
        &mut self,
        cx: CX![],
        request: Request,
        respond: Sender<Response>,
    ) {
        match self.read_proposal(&request) {
            Ok(apply) => {
                self.operator_requests.applies.insert(apply.id, respond);
                self.handle_event(cx, Event::Apply(apply));
            }
            Err(response) => send_response(&respond, response),
        }
    }

    fn read_proposal(&self, request: &Request) -> Result<Apply, Response> {
        let proposal: Proposal = parse_body(request)?;
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
            config.domains.keys().find(|domain| !self.deps.shards.domains.contains(domain));
        if let Some(domain) = missing {
            return Err(refused(format!("failure domain `{domain}` is not in `--domains`")));
        }
        Ok(Apply {
            id: ApplyId(fastrand::u64(..)),
            base_version: Version(proposal.base_version),
            author: proposal.author,
            digests: digests::of(&config),
            bytes,
        })
    }

    pub(super) fn apply_finished(&mut self, id: ApplyId, outcome: Outcome) {
        let Some(respond) = self.operator_requests.applies.remove(&id) else {
            return;
        };
        if !matches!(outcome, Outcome::Accepted(_)) {
            event!(Code::ConfigRefused, reason = outcome.as_str());
        }
        send_response(&respond, apply_response(outcome));
    }

    /// Handles `GET /v1/penalties`.
    ///
    /// The response is sent when the agent reports the totals.
    pub(crate) fn penalties(&mut self, cx: CX![], request: Request, respond: Sender<Response>) {
        match self.read_settle(&request) {
            Ok(settle) => {
                self.operator_requests.settles.insert(settle.id, respond);
                self.handle_event(cx, Event::SettlePenalties(settle));
            }
            Err(response) => send_response(&respond, response),
        }
    }

    fn read_settle(&mut self, request: &Request) -> Result<SettleRequest, Response> {
        let head = &request.head;
        let by = match head.parameter("by").unwrap_or("target").parse::<GroupBy>() {
            Ok(by) => by,
            Err(error) => {
                return Err(Response::failure(Kind::Malformed, error, "see `penalties --help`"));
            }
        };
        let last = self.deps.shared.clock.now().as_ms() / 60_000 + 1;
        let from = parse_minute(head.parameter("from"), 0)?;
        let to = parse_minute(head.parameter("to"), last)?;
        self.operator_requests.next_settle += 1;
        let id = SettleId(self.operator_requests.next_settle);
        Ok(SettleRequest { id, from, to, by })
    }

    pub(super) fn settle_finished(&mut self, id: SettleId, outcome: Result<Settlement, Failure>) {
        let Some(respond) = self.operator_requests.settles.remove(&id) else {
            return;
        };
        let response = match outcome {
            Ok(settled) => Response::json(200, &penalties_response(settled)),
            Err(error @ Failure::StoreDown) => {
                Response::failure(Kind::Unavailable, error, STORE_HINT)
            }
            Err(error) => Response::failure(Kind::Internal, error, "see docs/OPERATIONS.md"),
        };
        send_response(&respond, response);
    }
}

/// Parses a time in milliseconds since the Unix epoch and returns its minute.
///
/// Returns minute `default` if `text` is missing or empty.
///
/// # Errors
///
/// Returns the failure response if `text` is not a number.
fn parse_minute(text: Option<&str>, default: u64) -> Result<Minute, Response> {
    let Some(text) = text.filter(|text| !text.is_empty()) else {
        return Ok(Minute(default));
    };
    let malformed = |_| {
        let message = format!("`{text}` is not a time, expected milliseconds since 1970");
        Response::failure(Kind::Malformed, message, "give `from` and `to` in milliseconds")
    };
    text.parse::<u64>().map(|ms| Minute(ms / 60_000)).map_err(malformed)
}

fn apply_response(outcome: Outcome) -> Response {
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

fn penalties_response(settled: Settlement) -> Penalties {
    let rows: Vec<Row> = settled
        .totals
        .into_iter()
        .map(|total| Row { key: total.name, missed: total.misses, penalty: total.amount.0 })
        .collect();
    let missed = rows.iter().map(|row| row.missed).sum();
    Penalties { rows, total: Sum { missed, penalty: settled.amount.0 } }
}

fn describe_instance(row: &StatusRow, load: Option<&Load>) -> Instance {
    let free = load.map(|load| load.calls.services.values().map(|load| load.free).sum());
    Instance {
        name: row.instance.to_string(),
        domain: row.domain.to_string(),
        state: instance_state(row.state),
        incarnation: row.incarnation.0,
        version: row.version.0,
        free_slots: free.unwrap_or(0),
        running_tasks: load.map_or(0, |load| u64::from(load.running_tasks)),
    }
}

fn instance_state(state: MemberState) -> InstanceState {
    match state {
        MemberState::Joining | MemberState::Serving => InstanceState::Alive,
        MemberState::Suspect => InstanceState::Suspect,
        MemberState::Draining => InstanceState::Draining,
        MemberState::Gone => InstanceState::Dead,
    }
}

fn store_state(state: State) -> StoreState {
    match state {
        State::Up => StoreState::Up,
        State::Down => StoreState::Down,
    }
}
