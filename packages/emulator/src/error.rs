//! The error type of the emulator's commands.  `main` prints the error and derives the exit code from
//! it.

use std::io;

/// The reason why a command of the emulator failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An argument or an input file cannot be used; nothing was started.
    #[error("{0}")]
    Input(String),
    /// An operation of the operating system failed.
    #[error("{what}: {error}")]
    Io {
        /// The operation that failed, or the file that it was applied to.
        what: String,
        /// The error that the operating system returned.
        #[source]
        error: io::Error,
    },
    /// A process or cluster did not become ready or ended early, a job was rejected, or the protocol was
    /// violated.
    #[error("{0}")]
    Failed(String),
}

/// Adds context to the error of an I/O result.
pub(crate) trait IoContext<T> {
    /// Converts the error into [`Error::Io`]; `what` names the operation that failed, or its file.
    fn context(self, what: impl Into<String>) -> Result<T, Error>;
}

impl<T> IoContext<T> for io::Result<T> {
    fn context(self, what: impl Into<String>) -> Result<T, Error> {
        self.map_err(|error| Error::Io { what: what.into(), error })
    }
}
