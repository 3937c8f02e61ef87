//! Numbered log events.
//!
//! Each line of the log carries the number and the name of its event, then
//! `key=value` fields. `docs/EVENTS.md` is the catalogue; a test compares it
//! with [`Code::ALL`].

mod catalogue;
mod output;

pub use catalogue::{Code, Severity};
pub use output::{Error, start};

/// Writes one event to the log.
///
/// Fields are given as `key = value` pairs and printed with `Display`.
#[macro_export]
macro_rules! event {
    ($code:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let code: $crate::events::Code = $code;
        ::log::log!(
            target: code.name(),
            code.level(),
            concat!("E{:04} {}", $(" ", stringify!($key), "={}",)*),
            code.number(),
            code.name()
            $(, $value)*
        );
    }};
}
