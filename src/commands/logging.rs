//! Log output of the program.

use std::io::IsTerminal;

use tracing_subscriber::filter::LevelFilter;

/// A format of log lines that does not exist.
#[derive(Debug, thiserror::Error)]
#[error("LOG_FORMAT={0:?} is neither text nor json")]
pub struct UnknownFormat(String);

/// Starts logging to standard error: as much as `LOG_LEVEL` asks for, else at
/// `default_level`; lines for people or, with `LOG_FORMAT=json`, one JSON object a
/// line.
pub fn init(default_level: LevelFilter) -> Result<(), UnknownFormat> {
    // the platform sets this variable: an unknown word must not keep a
    // controller from starting
    let level = std::env::var("LOG_LEVEL").ok().and_then(|level| level.parse().ok()).unwrap_or(default_level);
    let subscriber = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr);
    match std::env::var("LOG_FORMAT").as_deref() {
        Err(_) | Ok("" | "text") => subscriber.with_ansi(std::io::stderr().is_terminal()).init(),
        Ok("json") => subscriber.json().flatten_event(true).init(),
        Ok(format) => return Err(UnknownFormat(format.to_owned())),
    }
    Ok(())
}
