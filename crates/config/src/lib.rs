//! The folder of small files: parse, merge, check.
