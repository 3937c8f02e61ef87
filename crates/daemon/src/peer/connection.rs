//! Client side of a connection to another entry instance.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::pin::pin;
use std::rc::Weak;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bytes::Bytes;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::AsyncReadExt;
use futures::future::{Either, select};
use sycamorerill_schema::peer;

use super::codec;
use super::message::{Call, Error, Hello, Load, Reply, Request};

/// Timeout of an attempt to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects to the peer at `address`.
///
/// # Errors
///
/// Returns [`Error::Refused`] if nothing listens at the address, and
/// [`Error::NotSent`] if connecting fails otherwise or takes longer than
/// [`CONNECT_TIMEOUT`].
pub(super) async fn connect(
    address: SocketAddr,
    spawner: &Weak<LocalExecutor<'static>>,
) -> Result<peer::peer::Client, Error> {
    let connecting = pin!(Async::<TcpStream>::connect(address));
    let stream = match select(connecting, pin!(Timer::after(CONNECT_TIMEOUT))).await {
        Either::Left((Ok(stream), _)) => stream,
        Either::Left((Err(error), _)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(Error::Refused);
        }
        Either::Left((Err(error), _)) => return Err(Error::NotSent(error.to_string())),
        Either::Right(_) => return Err(Error::NotSent("timed out".to_owned())),
    };
    // Without TCP_NODELAY, small messages wait for the peer's delayed acknowledgement.
    let _ = stream.get_ref().set_nodelay(true);
    let (reader, writer) = stream.split();
    let network = VatNetwork::new(reader, writer, Side::Client, Default::default());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    match spawner.upgrade() {
        Some(executor) => executor.spawn(system).detach(),
        None => return Err(Error::NotSent("the instance has stopped".to_owned())),
    }
    Ok(client)
}

/// Sends a request and waits for its reply.
///
/// # Errors
///
/// Returns [`Error::Lost`] if the connection breaks before the reply arrives, and
/// [`Error::Malformed`] if the reply does not follow the schema.
pub(super) async fn exchange(
    client: &peer::peer::Client,
    own: &Hello,
    request: &Request,
) -> Result<Reply, Error> {
    match request {
        Request::Hello => hello(client, own).await,
        Request::Control(message) => control(client, own, message).await,
        Request::Load(load) => send_load(client, own, load).await,
        Request::Call(call) => forward(client, call).await,
        Request::Operate { .. } => operate(client, request).await,
    }
}

fn lost(error: capnp::Error) -> Error {
    Error::Lost(error.extra)
}

async fn hello(client: &peer::peer::Client, own: &Hello) -> Result<Reply, Error> {
    let mut request = client.hello_request();
    codec::write_hello(own, request.get().init_from());
    let reply = request.send().promise.await.map_err(lost)?;
    Ok(Reply::Hello(codec::read_hello(reply.get()?.get_hello()?)?))
}

async fn control(
    client: &peer::peer::Client,
    own: &Hello,
    message: &Bytes,
) -> Result<Reply, Error> {
    let mut request = client.control_request();
    codec::write_hello(own, request.get().init_from());
    request.get().set_message(message);
    request.send().promise.await.map_err(lost)?;
    Ok(Reply::Received)
}

async fn send_load(client: &peer::peer::Client, own: &Hello, load: &Load) -> Result<Reply, Error> {
    let mut request = client.load_request();
    codec::write_hello(own, request.get().init_from());
    codec::write_load(load, request.get().init_load());
    request.send().promise.await.map_err(lost)?;
    Ok(Reply::Received)
}

async fn forward(client: &peer::peer::Client, call: &Call) -> Result<Reply, Error> {
    let mut request = client.call_request();
    codec::write_call(call, request.get().init_call());
    let reply = request.send().promise.await.map_err(lost)?;
    Ok(Reply::Call(codec::read_answer(reply.get()?.get_answer()?)?))
}

async fn operate(client: &peer::peer::Client, request: &Request) -> Result<Reply, Error> {
    let Request::Operate { method, path, query, body, hops } = request else {
        return Err(Error::Malformed("not an operator's request".to_owned()));
    };
    let mut message = client.request_request();
    let mut to = message.get().init_request();
    to.set_method(method);
    to.set_path(path);
    to.set_query(query);
    to.set_body(body);
    to.set_hops(*hops);
    let reply = message.send().promise.await.map_err(lost)?;
    let response = reply.get()?.get_response()?;
    Ok(Reply::Operate {
        status: response.get_status(),
        media: response.get_media()?.to_str()?.to_owned(),
        body: Bytes::copy_from_slice(response.get_body()?),
    })
}
