//! A TCP connection that notes whether any byte of a request was handed to it.

use std::cell::Cell;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};

thread_local! {
    /// Whether the request of this thread has handed bytes to a connection.
    static SENT: Cell<bool> = const { Cell::new(false) };
}

/// Notes that this thread starts a new request.
pub(crate) fn begin() {
    SENT.set(false);
}

/// Reports whether any byte of this thread's request may have left.
pub(crate) fn sent() -> bool {
    SENT.get()
}

/// Resolves IP numbers only, on the caller's thread.
///
/// The default resolver of `ureq` starts a thread for each request that has a
/// timeout, also when the address is a number.
#[derive(Debug)]
pub(crate) struct Numbers;

impl Resolver for Numbers {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let authority = uri.authority().ok_or(ureq::Error::HostNotFound)?;
        let address = authority.as_str().parse().map_err(|_| ureq::Error::HostNotFound)?;
        let mut found = self.empty();
        found.push(address);
        Ok(found)
    }
}

/// Opens TCP connections that note what is sent.
#[derive(Debug)]
pub(crate) struct Noting(TcpConnector);

impl Noting {
    pub(crate) fn new() -> Self {
        Self(TcpConnector::default())
    }
}

impl Connector for Noting {
    type Out = Noted;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Noted>, ureq::Error> {
        let opened = self.0.connect(details, chained)?;
        Ok(opened.map(|transport| Noted(Box::new(transport))))
    }
}

/// A connection that notes what is sent.
#[derive(Debug)]
pub(crate) struct Noted(Box<dyn Transport>);

impl Transport for Noted {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        SENT.set(true);
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.0.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }
}
