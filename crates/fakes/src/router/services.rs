//! The table, the object store and the instance list.

use hyper::{Method, StatusCode};
use sycamorerill_clients::instances::Change;
use sycamorerill_clients::table::{RowRequest, ScanRequest, Transaction};

use super::{Router, lock, not_found, parsed};
use crate::server::{Incoming, Reply};

impl Router {
    /// Answers a request to the table.
    pub(super) async fn table(&self, path: &str, request: &Incoming) -> Reply {
        let writes = path == "transact";
        let now = self.clock.now();
        let passed = match self.table_gate.enter(request, now, writes).await {
            Ok(passed) => passed,
            Err(reply) => return self.table_meter.failed(reply),
        };
        self.table_meter.note(self.clock.now(), writes);
        let reply = match path {
            "transact" => parsed(request, |transaction: Transaction| {
                match lock(&self.table).transact(transaction) {
                    Ok(committed) => Reply::json(StatusCode::OK, &committed),
                    Err(conflict) => Reply::json(StatusCode::CONFLICT, &conflict),
                }
            }),
            "row" => parsed(request, |row: RowRequest| {
                Reply::json(StatusCode::OK, &lock(&self.table).row(&row.key))
            }),
            "scan" => parsed(request, |scan: ScanRequest| {
                Reply::json(StatusCode::OK, &lock(&self.table).scan(&scan))
            }),
            _ => not_found(),
        };
        self.table_gate.leave(passed, reply)
    }

    /// Answers a request to the object store.
    pub(super) async fn objects(&self, key: &str, request: &Incoming) -> Reply {
        let writes = request.method != Method::GET;
        let now = self.clock.now();
        let passed = match self.objects_gate.enter(request, now, writes).await {
            Ok(passed) => passed,
            Err(reply) => return self.objects_meter.failed(reply),
        };
        self.objects_meter.note(self.clock.now(), writes);
        let mut objects = lock(&self.objects);
        let reply = match (&request.method, key) {
            (&Method::GET, "") => {
                let prefix = request.query("prefix").unwrap_or_default();
                Reply::json(StatusCode::OK, &objects.list(prefix))
            }
            (&Method::GET, key) => {
                objects.get(key).map_or_else(not_found, |body| Reply::raw(StatusCode::OK, body))
            }
            (&Method::PUT, key) if !key.is_empty() => {
                let if_absent = request.header("if-none-match") == Some("*");
                if objects.put(key, request.body.clone(), if_absent) {
                    Reply::status(StatusCode::NO_CONTENT)
                } else {
                    Reply::refused(StatusCode::PRECONDITION_FAILED, "the object exists")
                }
            }
            (&Method::DELETE, key) => {
                objects.delete(key);
                Reply::status(StatusCode::NO_CONTENT)
            }
            _ => Reply::refused(StatusCode::METHOD_NOT_ALLOWED, "expected GET, PUT or DELETE"),
        };
        drop(objects);
        self.objects_gate.leave(passed, reply)
    }

    /// Answers a request to the instance list.
    pub(super) async fn instances(&self, request: &Incoming) -> Reply {
        if request.method == Method::POST {
            return parsed(request, |change: Change| {
                self.change(change);
                Reply::status(StatusCode::NO_CONTENT)
            });
        }
        let passed = match self.list_gate.enter(request, self.clock.now(), false).await {
            Ok(passed) => passed,
            Err(reply) => return reply,
        };
        let shown = lock(&self.list).shown(self.clock.now());
        self.list_gate.leave(passed, Reply::json(StatusCode::OK, &shown))
    }
}
