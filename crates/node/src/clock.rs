//! Reads the system clocks that this process uses.

use nix::time::{ClockId, clock_gettime};
use sycamorerill_core::clock::Time;

/// Returns the time since the machine booted.
///
/// The clock includes time in which the machine was suspended, so a claim or a lease
/// that expired during suspension is not mistaken for a valid one.
pub fn now() -> Time {
    Time::from_ms(read(ClockId::CLOCK_BOOTTIME))
}

/// Returns the wall-clock time in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    read(ClockId::CLOCK_REALTIME)
}

fn read(clock: ClockId) -> u64 {
    // The call fails only for clocks that the kernel does not support.
    clock_gettime(clock).map_or(0, |time| {
        let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec()).unwrap_or(0);
        seconds * 1_000 + nanos / 1_000_000
    })
}
