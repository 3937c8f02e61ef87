//! Cap'n Proto schema and the code generated from it.
//!
//! `cargo run -p sycamorerill-schema --example generate` writes the generated
//! modules anew after a change of `schema/*.capnp`.

mod generated;

pub use generated::config_capnp as config;
pub use generated::journal_capnp as journal;
pub use generated::peer_capnp as peer;
pub use generated::record_capnp as record;
