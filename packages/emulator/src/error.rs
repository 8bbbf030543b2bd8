//! The error of the emulator's commands, as `main` prints it.

use std::io;

/// Why a command of the emulator failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An argument or a file cannot be used; nothing was started.
    #[error("{0}")]
    Input(String),
    /// The operating system refused something.
    #[error("{what}: {error}")]
    Io {
        /// What was tried, or on which file.
        what: String,
        /// The error of the operating system.
        #[source]
        error: io::Error,
    },
    /// What was started did not get ready, ended early, or broke a rule of the protocol.
    #[error("{0}")]
    Failed(String),
}

/// Adds to an I/O result what was tried.
pub(crate) trait IoContext<T> {
    /// Turns the error into [`Error::Io`]; `what` says what was tried, or on which file.
    fn context(self, what: impl Into<String>) -> Result<T, Error>;
}

impl<T> IoContext<T> for io::Result<T> {
    fn context(self, what: impl Into<String>) -> Result<T, Error> {
        self.map_err(|error| Error::Io { what: what.into(), error })
    }
}
