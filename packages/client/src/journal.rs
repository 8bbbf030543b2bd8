//! The journal: a database file that holds the client's jobs.
//!
//! A job is written to the journal before its submission is sent, and its final
//! answer before any caller gets it.

mod error;

use std::path::{Path, PathBuf};
use std::sync::Arc;

use coralnotch_wire::model::{JobSpec, Name};
use redb::{Database, DatabaseError, ReadableTable, StorageError, Table, TableDefinition};

use self::error::{from_io_error, from_redb_error, TransactionFailure};
use crate::model::JobRecord;

pub use self::error::JournalError;

/// Job records in JSON, by job id.
const JOBS: TableDefinition<&str, &[u8]> = TableDefinition::new("jobs");
/// Properties of the file.
const META: TableDefinition<&str, &str> = TableDefinition::new("meta");
/// The number of jobs in each named batch, by the name of the batch.
const BATCH_SIZES: TableDefinition<&str, u64> = TableDefinition::new("batches");
/// Key of the layout version in [`META`].
const LAYOUT_KEY: &str = "layout";
/// Version of the file's layout.  A file with another version is rejected and not
/// converted.
const LAYOUT: &str = "1";

/// An open journal.
///
/// All methods block on disk I/O.  Asynchronous code calls them on a thread for
/// blocking work, for example with `smol::unblock`.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    database: Database,
}

impl Journal {
    /// Opens the journal at `path`, or creates one if there is no file.
    ///
    /// # Errors
    ///
    /// Returns a [`JournalError`] if the file is already open, is not a journal
    /// of this layout version, or can't be read and written.  A file that is not
    /// a journal is not modified.
    pub fn open(path: &Path) -> Result<Journal, JournalError> {
        // A crash during the creation of a journal can leave an empty file, which
        // is opened as a new journal.  No job is lost, because a job is written
        // to the journal before it is sent.
        let database = Database::create(path).map_err(|error| match error {
            DatabaseError::Storage(StorageError::Io(error)) => from_io_error(path, &error),
            error => from_redb_error(path, error.into()),
        })?;
        let journal = Journal { path: path.to_owned(), database };
        let found = journal.ensure_layout().map_err(|failure| failure.into_journal_error(path))?;
        match found.as_deref() {
            None | Some(LAYOUT) => Ok(journal),
            Some(other) => Err(JournalError::UnsupportedLayout { path: path.to_owned(), found: other.to_owned() }),
        }
    }

    /// Returns the layout version of the file.  Writes the version [`LAYOUT`] to a
    /// new file and returns `None`.
    fn ensure_layout(&self) -> Result<Option<String>, TransactionFailure> {
        let transaction = self.database.begin_write()?;
        let found = {
            let mut meta = transaction.open_table(META)?;
            transaction.open_table(JOBS)?;
            let found = meta.get(LAYOUT_KEY)?.map(|value| value.value().to_owned());
            if found.is_none() {
                meta.insert(LAYOUT_KEY, LAYOUT)?;
            }
            found
        };
        match found {
            Some(_) => transaction.abort()?,
            None => transaction.commit()?,
        }
        Ok(found)
    }

    /// Returns all records, sorted by job id.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError::Corrupt`] if a record can't be decoded, and other
    /// errors if the file can't be read.
    pub fn read_all(&self) -> Result<Vec<JobRecord>, JournalError> {
        let rows = self.read_rows().map_err(|failure| failure.into_journal_error(&self.path))?;
        rows.iter().map(|row| self.decode_record(row)).collect()
    }

    fn read_rows(&self) -> Result<Vec<Vec<u8>>, TransactionFailure> {
        let transaction = self.database.begin_read()?;
        let jobs = transaction.open_table(JOBS)?;
        let mut rows = Vec::new();
        for entry in jobs.iter()? {
            let (_, row) = entry?;
            rows.push(row.value().to_vec());
        }
        Ok(rows)
    }

    fn decode_record(&self, row: &[u8]) -> Result<JobRecord, JournalError> {
        serde_json::from_slice(row)
            .map_err(|error| JournalError::Corrupt { path: self.path.clone(), reason: error.to_string() })
    }

    /// Adds either all of the jobs or none of them, in one durable transaction.
    ///
    /// A job that the journal already has with the same specification is not
    /// changed.  Returns the records of all given jobs after the transaction, or
    /// `None` if `batch` names a batch that was added before.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError::IdTaken`] if the journal has a job with the same id
    /// and a different specification, [`JournalError::Corrupt`] if the record of
    /// a given job can't be decoded, and other errors if the file can't be read or
    /// written.
    pub fn add(&self, specs: &[Arc<JobSpec>], batch: Option<&str>) -> Result<Option<Vec<JobRecord>>, JournalError> {
        self.try_add(specs, batch).map_err(|failure| failure.into_journal_error(&self.path))
    }

    fn try_add(
        &self,
        specs: &[Arc<JobSpec>],
        batch: Option<&str>,
    ) -> Result<Option<Vec<JobRecord>>, TransactionFailure> {
        // Returning before the commit aborts the transaction.
        let transaction = self.database.begin_write()?;
        if let Some(batch) = batch {
            let is_duplicate = transaction.open_table(BATCH_SIZES)?.insert(batch, specs.len() as u64)?.is_some();
            if is_duplicate {
                return Ok(None);
            }
        }
        let mut records = Vec::with_capacity(specs.len());
        {
            let mut jobs = transaction.open_table(JOBS)?;
            for spec in specs {
                records.push(self.insert_if_absent(&mut jobs, spec)?);
            }
        }
        transaction.commit()?;
        Ok(Some(records))
    }

    fn insert_if_absent(&self, jobs: &mut JobsTable<'_>, spec: &JobSpec) -> Result<JobRecord, TransactionFailure> {
        let Some(existing) = self.get(jobs, &spec.id)? else {
            let record = JobRecord::new(spec);
            write_record(jobs, &spec.id, &record)?;
            return Ok(record);
        };
        if existing.spec != *spec {
            return Err(JournalError::IdTaken { id: spec.id.to_string() }.into());
        }
        Ok(existing)
    }

    /// Applies `change` to the records of the given jobs in one durable
    /// transaction.  Ids without a record are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or written, or if one of the
    /// records can't be decoded.
    pub fn update(&self, ids: &[Name], change: impl Fn(&mut JobRecord)) -> Result<(), JournalError> {
        self.try_update(ids, change).map_err(|failure| failure.into_journal_error(&self.path))
    }

    fn try_update(&self, ids: &[Name], change: impl Fn(&mut JobRecord)) -> Result<(), TransactionFailure> {
        let transaction = self.database.begin_write()?;
        {
            let mut jobs = transaction.open_table(JOBS)?;
            for id in ids {
                let Some(mut record) = self.get(&jobs, id)? else { continue };
                change(&mut record);
                write_record(&mut jobs, id, &record)?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Removes the record of a job in one durable transaction.  An id without a
    /// record is ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or written.
    pub fn remove(&self, id: &str) -> Result<(), JournalError> {
        self.try_remove(id).map_err(|failure| failure.into_journal_error(&self.path))
    }

    fn try_remove(&self, id: &str) -> Result<(), TransactionFailure> {
        let transaction = self.database.begin_write()?;
        transaction.open_table(JOBS)?.remove(id)?;
        transaction.commit()?;
        Ok(())
    }

    fn get(&self, jobs: &JobsTable<'_>, id: &str) -> Result<Option<JobRecord>, TransactionFailure> {
        let Some(row) = jobs.get(id)? else { return Ok(None) };
        Ok(Some(self.decode_record(row.value())?))
    }
}

/// The table of job records, open in a write transaction.
type JobsTable<'txn> = Table<'txn, &'static str, &'static [u8]>;

fn write_record(jobs: &mut JobsTable<'_>, id: &str, record: &JobRecord) -> Result<(), TransactionFailure> {
    let row = serde_json::to_vec(record).unwrap_or_default();
    jobs.insert(id, &*row)?;
    Ok(())
}

#[cfg(test)]
mod tests;
