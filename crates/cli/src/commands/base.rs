//! Configurations to compare a folder with: the newest accepted one, a saved one or another folder.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use miette::Diagnostic;
use sycamorerill_config::{CodecError, Folder, Report, decode_text};
use sycamorerill_core::api::Configuration;
use sycamorerill_core::model::Config;

use crate::client::Client;
use crate::failure::Failure;

/// Accepted configuration with which a folder is compared.
pub(super) struct BaseConfig {
    /// Accepted version, 0 before the first.
    pub(super) version: u64,
    pub(super) config: Config,
}

/// Errors of reading a saved configuration or another folder.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub(crate) enum BaseError {
    /// The path cannot be read.
    #[error("`{path}` cannot be read: {reason}")]
    #[diagnostic(
        code(against),
        help("name a folder, or a file with the body of a response to GET /v1/config")
    )]
    Unreadable {
        /// Path as given.
        path: PathBuf,
        /// Error of the operating system.
        reason: io::Error,
    },
    /// The file does not hold a response to `GET /v1/config`.
    #[error("`{path}` is not a saved configuration: {reason}")]
    #[diagnostic(code(against), help("save the body of a response to GET /v1/config"))]
    NotSaved {
        /// Path as given.
        path: PathBuf,
        /// Error of parsing the response.
        reason: serde_json::Error,
    },
    /// The configuration in the file cannot be decoded.
    #[error("the configuration in `{path}` cannot be decoded: {reason}")]
    #[diagnostic(code(against), help("save it again from an instance of this program's version"))]
    Encoding {
        /// Path as given.
        path: PathBuf,
        /// Error of decoding.
        reason: CodecError,
    },
    /// The folder to compare with has errors.
    #[error("the folder `{path}` to compare with cannot be used: {report}")]
    #[diagnostic(code(against), help("run `sycamorerill check` on it"))]
    Folder {
        /// Path as given.
        path: PathBuf,
        /// Errors of the folder.
        report: Report,
    },
}

/// Fetches the newest accepted configuration.
pub(super) fn fetch_newest(client: &Client) -> Result<BaseConfig, Failure> {
    decode(&client.configuration()?).map_err(Failure::Encoding)
}

/// Reads a folder that is not yet accepted.
pub(super) fn read_folder(path: &Path) -> Result<Config, Failure> {
    let checked = Folder::read(path)?.check();
    Ok(checked.map_err(|report| BaseError::Folder { path: path.to_owned(), report })?)
}

/// Reads a file with the body of a response to `GET /v1/config`.
pub(super) fn read_saved(path: &Path) -> Result<BaseConfig, BaseError> {
    let path = path.to_owned();
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(reason) => return Err(BaseError::Unreadable { path, reason }),
    };
    match serde_json::from_slice(&bytes) {
        Ok(saved) => decode(&saved).map_err(|reason| BaseError::Encoding { path, reason }),
        Err(reason) => Err(BaseError::NotSaved { path, reason }),
    }
}

fn decode(newest: &Configuration) -> Result<BaseConfig, CodecError> {
    let config = match newest.version {
        0 => Config::default(),
        _ => decode_text(&newest.config)?,
    };
    Ok(BaseConfig { version: newest.version, config })
}
