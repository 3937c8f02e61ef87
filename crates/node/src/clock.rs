//! Clocks of this process.

use nix::time::{ClockId, clock_gettime};
use sycamorerill_core::clock::Time;

/// Returns the time since the machine started.
///
/// It goes on while the machine is suspended, so that a claim or a lease that was
/// outlived in suspension is not taken for a fresh one.
pub fn now() -> Time {
    Time::from_ms(read(ClockId::CLOCK_BOOTTIME))
}

/// Returns the time of day in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    read(ClockId::CLOCK_REALTIME)
}

fn read(clock: ClockId) -> u64 {
    // The call fails only for clocks that the kernel does not know.
    clock_gettime(clock).map_or(0, |time| {
        let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec()).unwrap_or(0);
        seconds * 1_000 + nanos / 1_000_000
    })
}
