//! Settings of a router.

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, InstanceName};
use sycamorerill_core::rate::Share;

use crate::{fleet, keys, queue};

/// Settings of a router that do not come from the declared configuration.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry instance.
    pub instance: Option<InstanceName>,
    /// Failure domain of this entry instance.
    pub domain: Option<DomainName>,
    /// One-way delay to another failure domain.
    pub far: Span,
    /// One-way delay within the failure domain.
    pub near: Span,
    /// Time added to the longest run before a slot is taken for free without an answer.
    pub flight: Span,
    /// Time for calls to end before slots are handed over with calls in progress.
    pub hand_over: Span,
    /// Time without a word after which no call is forwarded to a peer.
    pub peer_silence: Span,
    /// Shortest time between two announcements of free slots.
    pub announce_interval: Span,
    /// Largest number of times that a call is forwarded.
    pub max_hops: u8,
    /// Largest number of attempts at one call, sent or forwarded.
    pub max_attempts: u64,
    /// Hedged attempts as a share of idempotent calls; zero turns hedging off.
    pub hedge_budget: Share,
    /// Health of executors.
    pub health: fleet::Settings,
    /// Queue and shares.
    pub queue: queue::Settings,
    /// Idempotency keys.
    pub keys: keys::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: None,
            domain: None,
            far: Span::from_ms_f64(1.5),
            near: Span::from_ms_f64(0.1),
            flight: Span::from_ms(100),
            hand_over: Span::from_ms(200),
            peer_silence: Span::from_ms(600),
            announce_interval: Span::from_ms(50),
            max_hops: 2,
            max_attempts: 4,
            hedge_budget: Share::default(),
            health: fleet::Settings::default(),
            queue: queue::Settings::default(),
            keys: keys::Settings::default(),
        }
    }
}
