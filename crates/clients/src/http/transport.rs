//! TCP connections that record whether any byte of a request was passed to them.

use std::cell::Cell;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};

thread_local! {
    /// Whether the current request of this thread has passed bytes to a connection.
    static BYTES_SENT: Cell<bool> = const { Cell::new(false) };
}

/// Records that this thread starts a new request, of which nothing was sent.
pub(crate) fn reset_sent() {
    BYTES_SENT.set(false);
}

/// Returns whether any byte of this thread's current request may have been sent.
pub(crate) fn was_sent() -> bool {
    BYTES_SENT.get()
}

/// Resolver that accepts IP addresses only and runs on the caller's thread.
///
/// The default resolver of `ureq` starts a thread for each request that has a
/// timeout, even if the host is an IP address.
#[derive(Debug)]
pub(crate) struct IpResolver;

impl Resolver for IpResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let authority = uri.authority().ok_or(ureq::Error::HostNotFound)?;
        let address = authority.as_str().parse().map_err(|_| ureq::Error::HostNotFound)?;
        let mut resolved = self.empty();
        resolved.push(address);
        Ok(resolved)
    }
}

/// Connector whose TCP connections record whether bytes were sent.
#[derive(Debug)]
pub(crate) struct TrackingConnector(TcpConnector);

impl TrackingConnector {
    pub(crate) fn new() -> Self {
        Self(TcpConnector::default())
    }
}

impl Connector for TrackingConnector {
    type Out = TrackedTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<TrackedTransport>, ureq::Error> {
        let connected = self.0.connect(details, chained)?;
        Ok(connected.map(|transport| TrackedTransport(Box::new(transport))))
    }
}

/// Connection that records whether bytes were sent.
#[derive(Debug)]
pub(crate) struct TrackedTransport(Box<dyn Transport>);

impl Transport for TrackedTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        BYTES_SENT.set(true);
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.0.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }
}
