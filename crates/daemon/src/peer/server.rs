//! Server side of the protocol between entry instances.

use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_io::Async;
use bytes::Bytes;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::AsyncReadExt;
use futures::channel::oneshot;
use sycamorerill_schema::peer;

use super::codec;
use super::message::{Error, Hello, Reply, Request};
use super::transport::ServeContext;

/// The RPC service of one connection.
pub(super) struct Service {
    context: ServeContext,
    from: RefCell<Option<Hello>>,
}

/// Serves one connection until it ends.
pub(super) async fn serve(stream: Async<TcpStream>, context: ServeContext) {
    // Without TCP_NODELAY, small messages wait for the peer's delayed acknowledgement.
    let _ = stream.get_ref().set_nodelay(true);
    let (reader, writer) = stream.split();
    let network = VatNetwork::new(reader, writer, Side::Server, Default::default());
    let service = Service { context, from: RefCell::new(None) };
    let client: peer::peer::Client = capnp_rpc::new_client(service);
    // An error means that the connection broke, which the peer notices as well.
    let _ = RpcSystem::new(Box::new(network), Some(client.client)).await;
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightGuard {
    fn begin(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Service {
    async fn handle(&self, request: Request) -> Result<Reply, capnp::Error> {
        let (sender, receiver) = oneshot::channel();
        let from = self.from.borrow().clone();
        let respond = Box::new(move |reply| {
            // The send fails if the connection has broken.
            let _ = sender.send(reply);
        });
        let guard = InFlightGuard::begin(&self.context.in_flight);
        self.context.handler.handle(from, request, respond);
        let stopped = |_| capnp::Error::disconnected("the instance has stopped".to_owned());
        let reply = receiver.await.map_err(stopped);
        drop(guard);
        reply
    }
}

fn malformed(error: Error) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

fn wrong_reply() -> capnp::Error {
    capnp::Error::failed("the reply is of another kind than its request".to_owned())
}

impl peer::peer::Server for Service {
    async fn hello(
        self: Rc<Self>,
        params: peer::peer::HelloParams,
        mut results: peer::peer::HelloResults,
    ) -> Result<(), capnp::Error> {
        let from = codec::read_hello(params.get()?.get_from()?).map_err(malformed)?;
        self.from.replace(Some(from));
        codec::write_hello(&self.context.own, results.get().init_hello());
        Ok(())
    }

    async fn control(
        self: Rc<Self>,
        params: peer::peer::ControlParams,
        _: peer::peer::ControlResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let from = codec::read_hello(params.get_from()?).map_err(malformed)?;
        self.from.replace(Some(from));
        let message = Bytes::copy_from_slice(params.get_message()?);
        self.handle(Request::Control(message)).await.map(|_| ())
    }

    async fn load(
        self: Rc<Self>,
        params: peer::peer::LoadParams,
        _: peer::peer::LoadResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let from = codec::read_hello(params.get_from()?).map_err(malformed)?;
        self.from.replace(Some(from));
        let load = codec::read_load(params.get_load()?).map_err(malformed)?;
        self.handle(Request::Load(load)).await.map(|_| ())
    }

    async fn call(
        self: Rc<Self>,
        params: peer::peer::CallParams,
        mut results: peer::peer::CallResults,
    ) -> Result<(), capnp::Error> {
        let call = codec::read_call(params.get()?.get_call()?).map_err(malformed)?;
        match self.handle(Request::Call(call)).await? {
            Reply::Call(answer) => {
                codec::write_answer(&answer, results.get().init_answer());
                Ok(())
            }
            _ => Err(wrong_reply()),
        }
    }

    async fn request(
        self: Rc<Self>,
        params: peer::peer::RequestParams,
        mut results: peer::peer::RequestResults,
    ) -> Result<(), capnp::Error> {
        let request = params.get()?.get_request()?;
        let request = Request::Operate {
            method: request.get_method()?.to_str()?.to_owned(),
            path: request.get_path()?.to_str()?.to_owned(),
            query: request.get_query()?.to_str()?.to_owned(),
            body: Bytes::copy_from_slice(request.get_body()?),
            hops: request.get_hops(),
        };
        match self.handle(request).await? {
            Reply::Operate { status, media, body } => {
                let mut to = results.get().init_response();
                to.set_status(status);
                to.set_media(&media);
                to.set_body(&body);
                Ok(())
            }
            _ => Err(wrong_reply()),
        }
    }
}
