//! How many connections and bytes of bodies a machine has room for.

use sycamorerill_core::clock::Span;
use sycamorerill_core::data;

/// Memory that is assumed if the settings state none, in MiB.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Largest memory that is counted with, in MiB.
const MAX_MEMORY_MB: u64 = 1 << 20;
/// Limit of file descriptors if the settings state none.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// File descriptors reserved for files and for connections to the store and executors.
const RESERVED_DESCRIPTORS: usize = 1_200;
/// Upper bound on the memory of a connection whose client is hostile: 32 KiB unread and 32 KiB
/// unsent in the kernel, a head of 16 KiB, and 16 KiB for the connection's own state.
const CONNECTION_BYTES: u64 = 96 * 1_024;
/// Part of the memory that the connections of callers may hold.
const CALLERS_PART: u64 = 4;
/// Part of the memory that the connections of each other listener may hold.
const AUXILIARY_PART: u64 = 32;
/// Part of the memory that bodies may hold.
const BODIES_PART: u64 = 8;
/// Part of the descriptors that each other listener may hold.
const AUXILIARY_DESCRIPTORS_PART: usize = 8;
/// Fewest connections of a listener, however small the machine is.
const MIN_CONNECTIONS: usize = 8;

data! {
    /// What the settings state of the machine, and the limits that they set themselves.
    #[derive(Copy, Default)]
    pub struct Machine {
        /// Memory in MiB.
        pub memory_mb: Option<u64>,
        /// Number of file descriptors that the process may open.
        pub max_fds: Option<usize>,
        /// Number of connections of callers.
        pub max_connections: Option<usize>,
        /// Memory of all bodies in progress, in MiB.
        pub body_budget_mb: Option<u64>,
        /// Time in which a body must arrive.
        pub body_timeout: Option<Span>,
        /// Time in which a client must have read a response.
        pub response_timeout: Option<Span>,
    }
}

data! {
    /// Limits on the clients of all listeners together.
    #[derive(Copy)]
    pub struct Limits {
        /// Number of connections of callers.
        pub callers: usize,
        /// Number of connections for readiness checks, and of those for scrapes of metrics.
        pub auxiliary: usize,
        /// Memory of all bodies in progress, in bytes.
        pub body_bytes: usize,
        /// Time in which a body must arrive.
        pub body_timeout: Span,
        /// Time in which a client must have read a response.
        pub response_timeout: Span,
    }
}

impl Limits {
    /// Returns the limits for a machine.
    pub fn of(machine: &Machine) -> Self {
        let memory_mb = machine.memory_mb.filter(|mb| *mb > 0).unwrap_or(DEFAULT_MEMORY_MB);
        let memory = memory_mb.min(MAX_MEMORY_MB) << 20;
        let descriptors = machine.max_fds.unwrap_or(DEFAULT_DESCRIPTORS);
        let descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let connections = |part: u64, descriptors: usize| {
            let by_memory = usize::try_from(memory / part / CONNECTION_BYTES).unwrap_or(usize::MAX);
            by_memory.min(descriptors).max(MIN_CONNECTIONS)
        };
        let auxiliary = connections(AUXILIARY_PART, descriptors / AUXILIARY_DESCRIPTORS_PART);
        let callers = connections(CALLERS_PART, descriptors.saturating_sub(2 * auxiliary));
        let budget_mb = machine.body_budget_mb.filter(|mb| *mb > 0);
        let budget = budget_mb.map_or(memory / BODIES_PART, |mb| mb.min(MAX_MEMORY_MB) << 20);
        let positive = |span: Option<Span>| span.filter(|span| *span > Span::ZERO);
        Self {
            callers: machine.max_connections.filter(|count| *count > 0).unwrap_or(callers),
            auxiliary,
            body_bytes: usize::try_from(budget).unwrap_or(usize::MAX),
            body_timeout: positive(machine.body_timeout).unwrap_or(Span::from_secs(10)),
            response_timeout: positive(machine.response_timeout).unwrap_or(Span::from_secs(10)),
        }
    }
}
