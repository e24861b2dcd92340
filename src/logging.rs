//! Sets up `log4rs` as configured in the settings.

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

use crate::settings::LogSettings;

/// Format of log lines: time in UTC, level, module and message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";

const APPENDER: &str = "main";

/// The reason why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The log file cannot be opened.
    #[error("cannot open the log file: {0}")]
    File(#[from] std::io::Error),
    /// A logger is already installed, or `log4rs` rejected the configuration.
    #[error("cannot set up logging: {0}")]
    Setup(String),
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// If the log file cannot be opened or logging has been set up before.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender(settings)?))
        .build(Root::builder().appender(APPENDER).build(level))
        .map_err(|e| LogError::Setup(e.to_string()))?;
    log4rs::init_config(config).map_err(|e| LogError::Setup(e.to_string()))?;
    Ok(())
}

fn appender(settings: &LogSettings) -> Result<Box<dyn Append>, LogError> {
    let encoder = encoder(settings.json);
    let Some(path) = &settings.file else {
        let console = ConsoleAppender::builder()
            .target(Target::Stderr)
            .encoder(encoder)
            .build();
        return Ok(Box::new(console));
    };
    Ok(Box::new(
        FileAppender::builder().encoder(encoder).build(path)?,
    ))
}

fn encoder(json: bool) -> Box<dyn Encode> {
    if json {
        return Box::new(JsonEncoder::new());
    }
    Box::new(PatternEncoder::new(PATTERN))
}
