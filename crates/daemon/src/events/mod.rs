//! Numbered log events.
//!
//! Each line of the log has the number and the name of its event, followed by
//! `key=value` fields. `docs/EVENTS.md` documents all events; a test compares it with
//! [`Code::ALL`].

mod catalogue;
mod output;

pub use catalogue::{Code, Severity};
pub use output::{Error, start};

/// Writes an event to the log.
///
/// Fields are `key = value` pairs; values are formatted with `Display`.
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
