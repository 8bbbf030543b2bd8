//! Why a journal can't be used, and what its operator can do about it.

use std::io;
use std::path::{Path, PathBuf};

/// Version of the layout; another one is refused, not rewritten.
pub(super) const LAYOUT: &str = "1";

/// Why a journal can't be used, and what to do about it.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// Another process, or another client in this one, has it open.
    #[error("{path} is open elsewhere: close the other client, or give each its own journal")]
    AlreadyOpen {
        /// The file.
        path: PathBuf,
    },
    /// It is no journal, or a damaged one.  Nothing was written to it.
    #[error("{path} is damaged or no journal ({reason}): keep it for its jobs' ids, and begin with another file")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// It has the layout of another version.
    #[error("{path} has layout {found}, this version writes {LAYOUT}: open it with the version that wrote it")]
    UnsupportedLayout {
        /// The file.
        path: PathBuf,
        /// Its layout.
        found: String,
    },
    /// It can be read only.
    #[error("{path} can't be written ({reason}): check who owns it and how its disk is mounted")]
    ReadOnly {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        reason: String,
    },
    /// No room.
    #[error("no room for {path}: free some; nothing was sent for what could not be written")]
    StorageFull {
        /// The file.
        path: PathBuf,
    },
    /// Something else.
    #[error("{path}: {reason}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The reason.
        reason: String,
    },
    /// The id is in the journal with another submission.
    #[error("{id} is in the journal with another submission: an id is one job's, for good")]
    IdTaken {
        /// The id.
        id: String,
    },
}

pub(super) fn from_io_error(path: &Path, e: &io::Error) -> JournalError {
    let path = path.to_owned();
    match e.kind() {
        io::ErrorKind::PermissionDenied | io::ErrorKind::ReadOnlyFilesystem => {
            JournalError::ReadOnly { path, reason: e.to_string() }
        }
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
            JournalError::StorageFull { path }
        }
        io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof => {
            JournalError::Corrupt { path, reason: e.to_string() }
        }
        _ => JournalError::Io { path, reason: e.to_string() },
    }
}

pub(super) fn from_redb_error(path: &Path, e: redb::Error) -> JournalError {
    match e {
        redb::Error::Io(e) => from_io_error(path, &e),
        redb::Error::DatabaseAlreadyOpen => JournalError::AlreadyOpen { path: path.to_owned() },
        redb::Error::Corrupted(reason) => JournalError::Corrupt { path: path.to_owned(), reason },
        redb::Error::UpgradeRequired(v) => {
            JournalError::UnsupportedLayout { path: path.to_owned(), found: format!("of format {v}") }
        }
        e => JournalError::Io { path: path.to_owned(), reason: e.to_string() },
    }
}
