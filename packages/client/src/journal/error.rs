//! Why a journal can't be used, and what its user can do about it.

use std::io;
use std::path::{Path, PathBuf};

use super::LAYOUT;

/// Why a journal can't be used, and what to do about it.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// Another process, or another client in this one, has it open.
    #[error("{path} is open elsewhere: close the other client, or give each its own journal")]
    AlreadyOpen {
        /// The file.
        path: PathBuf,
    },
    /// The file is no journal, or a damaged one.  Nothing was written to it.
    #[error("{path} is damaged or no journal ({reason}): keep it for its jobs' ids, and begin with another file")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The file has the layout of another version.
    #[error("{path} has layout {found}, this version writes {LAYOUT}: open it with the version that wrote it")]
    UnsupportedLayout {
        /// The file.
        path: PathBuf,
        /// Its layout.
        found: String,
    },
    /// The file can be read only.
    #[error("{path} can't be written ({reason}): check who owns it and how its disk is mounted")]
    ReadOnly {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        reason: String,
    },
    /// The disk is full.
    #[error("no room for {path}: free some; nothing was sent for what could not be written")]
    StorageFull {
        /// The file.
        path: PathBuf,
    },
    /// Another failure of the file.
    #[error("{path}: {reason}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        reason: String,
    },
    /// The id belongs to a job with another specification.
    #[error("{id} is in the journal with another submission: an id is one job's, for good")]
    IdTaken {
        /// The id.
        id: String,
    },
}

/// Why a transaction was not committed.
pub(super) enum TransactionFailure {
    /// The database failed.
    Database(Box<redb::Error>),
    /// What is in the journal does not allow the change.
    Rejected(JournalError),
}

impl TransactionFailure {
    /// The error that a user gets, for the journal at `path`.
    pub(super) fn into_journal_error(self, path: &Path) -> JournalError {
        match self {
            TransactionFailure::Database(error) => from_redb_error(path, *error),
            TransactionFailure::Rejected(error) => error,
        }
    }
}

impl From<JournalError> for TransactionFailure {
    fn from(error: JournalError) -> TransactionFailure {
        TransactionFailure::Rejected(error)
    }
}

macro_rules! from_redb_errors {
    ($($error:ident)*) => {
        $(impl From<redb::$error> for TransactionFailure {
            fn from(error: redb::$error) -> TransactionFailure {
                TransactionFailure::Database(Box::new(error.into()))
            }
        })*
    };
}
from_redb_errors!(TransactionError TableError StorageError CommitError);

/// The error for a failure of the file system.
pub(super) fn from_io_error(path: &Path, error: &io::Error) -> JournalError {
    let path = path.to_owned();
    match error.kind() {
        io::ErrorKind::PermissionDenied | io::ErrorKind::ReadOnlyFilesystem => {
            JournalError::ReadOnly { path, reason: error.to_string() }
        }
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
            JournalError::StorageFull { path }
        }
        io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof => {
            JournalError::Corrupt { path, reason: error.to_string() }
        }
        _ => JournalError::Io { path, reason: error.to_string() },
    }
}

/// The error for a failure of the database.
pub(super) fn from_redb_error(path: &Path, error: redb::Error) -> JournalError {
    let path = path.to_owned();
    match error {
        redb::Error::Io(error) => from_io_error(&path, &error),
        redb::Error::DatabaseAlreadyOpen => JournalError::AlreadyOpen { path },
        redb::Error::Corrupted(reason) => JournalError::Corrupt { path, reason },
        redb::Error::UpgradeRequired(version) => {
            JournalError::UnsupportedLayout { path, found: format!("of format {version}") }
        }
        error => JournalError::Io { path, reason: error.to_string() },
    }
}
