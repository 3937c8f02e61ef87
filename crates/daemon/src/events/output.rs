//! Sends the log to standard error.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

use crate::settings::LogFormat;

/// Line of the text form: time, level, event.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";
const APPENDER: &str = "stderr";

/// The ways in which the log can fail to start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration of the log is inconsistent.
    #[error("the log cannot be configured: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// The process has a logger already.
    #[error("the log has been started before: {0}")]
    Started(#[from] log::SetLoggerError),
}

/// Starts the log of the process.
///
/// # Errors
///
/// Fails when the process has a logger already.
pub fn start(format: &LogFormat) -> Result<(), Error> {
    let builder = ConsoleAppender::builder().target(Target::Stderr);
    let appender = match format {
        LogFormat::Off => return Ok(()),
        LogFormat::Text => builder.encoder(Box::new(PatternEncoder::new(PATTERN))),
        LogFormat::Json => builder.encoder(Box::new(JsonEncoder::new())),
    };
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender.build())))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}
