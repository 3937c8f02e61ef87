//! Placement, interference, eviction and leases of tasks, as pure decisions.
