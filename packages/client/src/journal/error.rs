//! The errors of the journal, and their mapping from errors of the file system
//! and the database.

use std::io;
use std::path::{Path, PathBuf};

use super::LAYOUT;

/// An error that occurred while a journal was opened, read or written.  The text
/// says what the user can do about it.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// Another process, or another client in this process, has the file open.
    #[error("journal {path} is already open: close the other client, or use a separate journal for each client")]
    AlreadyOpen {
        /// The path of the journal.
        path: PathBuf,
    },
    /// The file is damaged or is not a journal.  It was not modified.
    #[error("{path} is damaged or not a journal ({reason}): keep the file for its job ids, and use another one")]
    Corrupt {
        /// The path of the journal.
        path: PathBuf,
        /// What is wrong with the file.
        reason: String,
    },
    /// The file has a layout that this version of the library does not support.
    #[error(
        "journal {path} has an unsupported layout ({found}; supported: {LAYOUT}): \
         open it with the version that wrote it"
    )]
    UnsupportedLayout {
        /// The path of the journal.
        path: PathBuf,
        /// The layout version of the file, or the format version of its database.
        found: String,
    },
    /// The file can't be opened or written: its permissions deny that, or its file
    /// system is read-only.
    #[error("cannot write journal {path} ({reason}): check who owns the file and how its file system is mounted")]
    ReadOnly {
        /// The path of the journal.
        path: PathBuf,
        /// The error of the operating system.
        reason: String,
    },
    /// The disk is full, or a disk quota or file size limit is reached.
    #[error(
        "no space left to write journal {path}: free some disk space; \
         nothing was sent for changes that could not be written"
    )]
    StorageFull {
        /// The path of the journal.
        path: PathBuf,
    },
    /// Another error of the file system or the database.
    #[error("cannot access journal {path}: {reason}")]
    Io {
        /// The path of the journal.
        path: PathBuf,
        /// The error of the operating system or the database.
        reason: String,
    },
    /// The id belongs to a job with a different specification.
    #[error("job id {id} belongs to a job with a different specification: use a new id for each job")]
    IdTaken {
        /// The id that both specifications have.
        id: String,
    },
}

/// Why a transaction was not committed.
pub(super) enum TransactionFailure {
    /// The database failed.
    Database(Box<redb::Error>),
    /// The content of the journal does not permit the change.
    Rejected(JournalError),
}

impl TransactionFailure {
    /// Converts the failure into the public error for the journal at `path`.
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

/// Converts an error of the file system into a journal error.
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

/// Converts an error of the database into a journal error.
pub(super) fn from_redb_error(path: &Path, error: redb::Error) -> JournalError {
    let path = path.to_owned();
    match error {
        redb::Error::Io(error) => from_io_error(&path, &error),
        redb::Error::DatabaseAlreadyOpen => JournalError::AlreadyOpen { path },
        redb::Error::Corrupted(reason) => JournalError::Corrupt { path, reason },
        redb::Error::UpgradeRequired(version) => {
            JournalError::UnsupportedLayout { path, found: format!("database file format {version}") }
        }
        error => JournalError::Io { path, reason: error.to_string() },
    }
}
