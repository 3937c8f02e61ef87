//! Routing of store responses to the state machines that sent the requests.

use crate::{config, journal, ownership, penalties, session};

/// State machine that sent a store request, with its purpose for the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Session(session::Purpose),
    Ownership(ownership::Purpose),
    Journal(journal::Purpose),
    Config(config::Purpose),
    Penalties(penalties::Purpose),
}

impl From<session::Purpose> for Purpose {
    fn from(purpose: session::Purpose) -> Self {
        Self::Session(purpose)
    }
}

impl From<ownership::Purpose> for Purpose {
    fn from(purpose: ownership::Purpose) -> Self {
        Self::Ownership(purpose)
    }
}

impl From<journal::Purpose> for Purpose {
    fn from(purpose: journal::Purpose) -> Self {
        Self::Journal(purpose)
    }
}

impl From<config::Purpose> for Purpose {
    fn from(purpose: config::Purpose) -> Self {
        Self::Config(purpose)
    }
}

impl From<penalties::Purpose> for Purpose {
    fn from(purpose: penalties::Purpose) -> Self {
        Self::Penalties(purpose)
    }
}
