//! Generates `src/generated` from `schema/*.capnp`. Requires the `capnp` compiler.

use std::path::Path;

/// Names of the schema files without their extension.
const FILES: &[&str] = &["config", "journal", "peer", "record"];

fn main() -> Result<(), capnp::Error> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let schema = root.join("schema");
    let mut command = capnpc::CompilerCommand::new();
    command.src_prefix(&schema);
    command.output_path(root.join("src/generated"));
    command.default_parent_module(vec!["generated".to_owned()]);
    for name in FILES {
        command.file(schema.join(name).with_extension("capnp"));
    }
    command.run()
}
