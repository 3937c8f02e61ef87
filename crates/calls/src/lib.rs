//! Routing, admission, slots and retries of calls, as pure decisions.
