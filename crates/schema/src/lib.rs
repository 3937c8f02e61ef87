//! Cap'n Proto schemas and the code generated from them.
//!
//! After a change to `schema/*.capnp`, regenerate the modules with
//! `cargo run -p sycamorerill-schema --example generate`.

mod generated;

pub use generated::config_capnp as config;
pub use generated::journal_capnp as journal;
pub use generated::peer_capnp as peer;
pub use generated::record_capnp as record;
