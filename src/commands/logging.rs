//! Log output of the program.

use std::io::IsTerminal;

use tracing_subscriber::filter::LevelFilter;

/// The error for a value of `LOG_FORMAT` that is not a known format of log lines.
#[derive(Debug, thiserror::Error)]
#[error("LOG_FORMAT is {0:?}, but must be text or json")]
pub struct UnknownFormat(String);

/// Starts logging to standard error.
///
/// `LOG_LEVEL` sets the level; `default_level` applies if it is unset or unknown.  `LOG_FORMAT`
/// selects plain text (`text`, the default) or one JSON object per line (`json`).
///
/// # Errors
///
/// Returns an error if `LOG_FORMAT` has any other value.
pub fn init(default_level: LevelFilter) -> Result<(), UnknownFormat> {
    // the platform sets this variable, so an unknown level must not prevent a controller from
    // starting
    let level = std::env::var("LOG_LEVEL").ok().and_then(|level| level.parse().ok()).unwrap_or(default_level);
    let subscriber = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr);
    match std::env::var("LOG_FORMAT").as_deref() {
        Err(_) | Ok("" | "text") => subscriber.with_ansi(std::io::stderr().is_terminal()).init(),
        Ok("json") => subscriber.json().flatten_event(true).init(),
        Ok(format) => return Err(UnknownFormat(format.to_owned())),
    }
    Ok(())
}
