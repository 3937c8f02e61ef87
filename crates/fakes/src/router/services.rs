//! The table, the object store and the instance list.

use hyper::{Method, StatusCode};
use sycamorerill_clients::instances::Change;
use sycamorerill_clients::table::{RowRequest, ScanRequest, Transaction};

use super::{Router, lock, not_found, with_body};
use crate::server::{Incoming, Reply};

impl Router {
    /// Answers a request to the table.
    pub(super) async fn table(&self, path: &str, request: &Incoming) -> Reply {
        let is_write = path == "transact";
        let now = self.clock.now();
        let admitted = match self.table_injector.admit(request, now, is_write).await {
            Ok(admitted) => admitted,
            Err(reply) => return self.table_meter.record_failure(reply),
        };
        self.table_meter.record(self.clock.now(), is_write);
        let reply = match path {
            "transact" => with_body(request, |transaction: Transaction| {
                match lock(&self.table).transact(transaction) {
                    Ok(committed) => Reply::json(StatusCode::OK, &committed),
                    Err(conflict) => Reply::json(StatusCode::CONFLICT, &conflict),
                }
            }),
            "row" => with_body(request, |row: RowRequest| {
                Reply::json(StatusCode::OK, &lock(&self.table).row(&row.key))
            }),
            "scan" => with_body(request, |scan: ScanRequest| {
                Reply::json(StatusCode::OK, &lock(&self.table).scan(&scan))
            }),
            _ => not_found(),
        };
        self.table_injector.deliver(admitted, reply)
    }

    /// Answers a request to the object store.
    pub(super) async fn objects(&self, key: &str, request: &Incoming) -> Reply {
        let is_write = request.method != Method::GET;
        let now = self.clock.now();
        let admitted = match self.objects_injector.admit(request, now, is_write).await {
            Ok(admitted) => admitted,
            Err(reply) => return self.objects_meter.record_failure(reply),
        };
        self.objects_meter.record(self.clock.now(), is_write);
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
                    Reply::error(StatusCode::PRECONDITION_FAILED, "the object exists")
                }
            }
            (&Method::DELETE, key) => {
                objects.delete(key);
                Reply::status(StatusCode::NO_CONTENT)
            }
            _ => Reply::error(StatusCode::METHOD_NOT_ALLOWED, "expected GET, PUT or DELETE"),
        };
        drop(objects);
        self.objects_injector.deliver(admitted, reply)
    }

    /// Answers a request to the instance list.
    pub(super) async fn instances(&self, request: &Incoming) -> Reply {
        if request.method == Method::POST {
            return with_body(request, |change: Change| {
                self.change_instance(change);
                Reply::status(StatusCode::NO_CONTENT)
            });
        }
        let admitted = match self.list_injector.admit(request, self.clock.now(), false).await {
            Ok(admitted) => admitted,
            Err(reply) => return reply,
        };
        let published = lock(&self.list).published(self.clock.now());
        self.list_injector.deliver(admitted, Reply::json(StatusCode::OK, &published))
    }
}
