//! Setup of the log on standard error.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

use crate::settings::LogFormat;

/// Pattern of a line of the text format: time, level, event.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";
const APPENDER: &str = "stderr";

/// Errors that prevent the log from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration of the log is inconsistent.
    #[error("the log cannot be configured: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// The process already has a logger.
    #[error("the log has already been started: {0}")]
    Started(#[from] log::SetLoggerError),
}

/// Starts the log of the process. Does nothing for [`LogFormat::Off`].
///
/// # Errors
///
/// Returns an error if the process already has a logger.
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
