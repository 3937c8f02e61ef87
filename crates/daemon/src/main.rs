//! The entry instance.

fn main() {}
