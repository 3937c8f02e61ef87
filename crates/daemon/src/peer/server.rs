//! Answers the requests of other entry instances.

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
use super::transport::Front;

/// The interface that other entry instances call.
pub(super) struct Service {
    front: Front,
    from: RefCell<Option<Hello>>,
}

/// Serves one connection until it ends.
pub(super) async fn serve(stream: Async<TcpStream>, front: Front) {
    // Without it, small messages wait for the peer's delayed acknowledgement.
    let _ = stream.get_ref().set_nodelay(true);
    let (reader, writer) = stream.split();
    let network = VatNetwork::new(reader, writer, Side::Server, Default::default());
    let service = Service { front, from: RefCell::new(None) };
    let client: peer::peer::Client = capnp_rpc::new_client(service);
    // An error here is a broken connection, which the peer sees as well.
    let _ = RpcSystem::new(Box::new(network), Some(client.client)).await;
}

/// Counts one request for as long as it has no reply.
struct Serving(Arc<AtomicUsize>);

impl Serving {
    fn begin(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(count))
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Service {
    async fn handle(&self, request: Request) -> Result<Reply, capnp::Error> {
        let (sender, receiver) = oneshot::channel();
        let from = self.from.borrow().clone();
        let respond = Box::new(move |reply| {
            // The receiver is gone when the connection broke meanwhile.
            let _ = sender.send(reply);
        });
        let serving = Serving::begin(&self.front.serving);
        self.front.handler.handle(from, request, respond);
        let stopped = |_| capnp::Error::disconnected("the instance has stopped".to_owned());
        let reply = receiver.await.map_err(stopped);
        drop(serving);
        reply
    }
}

fn refused(error: Error) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

fn mismatch() -> capnp::Error {
    capnp::Error::failed("the reply is of another kind than its request".to_owned())
}

impl peer::peer::Server for Service {
    async fn hello(
        self: Rc<Self>,
        params: peer::peer::HelloParams,
        mut results: peer::peer::HelloResults,
    ) -> Result<(), capnp::Error> {
        let from = codec::read_hello(params.get()?.get_from()?).map_err(refused)?;
        self.from.replace(Some(from));
        codec::write_hello(&self.front.own, results.get().init_hello());
        Ok(())
    }

    async fn control(
        self: Rc<Self>,
        params: peer::peer::ControlParams,
        _: peer::peer::ControlResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let from = codec::read_hello(params.get_from()?).map_err(refused)?;
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
        let from = codec::read_hello(params.get_from()?).map_err(refused)?;
        self.from.replace(Some(from));
        let load = codec::read_load(params.get_load()?).map_err(refused)?;
        self.handle(Request::Load(load)).await.map(|_| ())
    }

    async fn call(
        self: Rc<Self>,
        params: peer::peer::CallParams,
        mut results: peer::peer::CallResults,
    ) -> Result<(), capnp::Error> {
        let call = codec::read_call(params.get()?.get_call()?).map_err(refused)?;
        match self.handle(Request::Call(call)).await? {
            Reply::Call(answer) => {
                codec::write_answer(&answer, results.get().init_answer());
                Ok(())
            }
            _ => Err(mismatch()),
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
            _ => Err(mismatch()),
        }
    }
}
