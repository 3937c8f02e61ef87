//! Configuration folders of TOML files: parsing, merging, checking and encoding.
//!
//! A configuration is a folder of TOML files. [`Folder::read`] reads them,
//! [`Folder::merge`] merges them in the order of their names, and
//! [`MergedSettings::check`] turns the result into a [`model::Config`] or into a
//! [`Report`] of every problem found, each with its file, line and column.
//! [`encode`] and [`decode`] convert a checked configuration to bytes and back, and
//! [`difference`] returns the keys in which two configurations differ.
//!
//! # Examples
//!
//! ```
//! use sycamorerill_config::Folder;
//!
//! let text = "[team.kits]\nwieght = 2\nquota = { cpu = 0, memory = \"0B\" }\n";
//! let file = ("10-team.toml".to_owned(), text.to_owned());
//! let report = Folder::from_files(vec![file]).check().unwrap_err();
//! let problem = &report.problems()[0];
//! assert_eq!((problem.file(), problem.line(), problem.column()), ("10-team.toml", 2, 1));
//! ```
//!
//! [`model::Config`]: sycamorerill_core::model::Config

mod check;
mod codec;
mod difference;
mod document;
mod folder;
mod jobs;
mod key;
mod merge;
mod problem;
mod similar;
mod source;

pub use codec::{Error as CodecError, MAX_ENCODED_BYTES, decode, decode_text, encode, encode_text};
pub use difference::difference;
pub use folder::{Folder, FolderError, MAX_FILE_BYTES, MAX_FILES};
pub use jobs::{parse_jobs, read_jobs};
pub use key::{Key, Section};
pub use merge::{MergedSettings, Setting};
pub use problem::{Problem, ProblemKind, Report, ValueError};
pub use source::Source;
