//! The journal on disk: a job is in it before anything is sent for it, and its
//! final answer before anyone gets it.

mod error;

use std::path::{Path, PathBuf};
use std::sync::Arc;

use coralnotch_wire::model::{JobSpec, Name};
use redb::{Database, DatabaseError, ReadableTable, StorageError, Table, TableDefinition};

use self::error::{from_io_error, from_redb_error, TransactionFailure};
use crate::model::JobRecord;

pub use self::error::JournalError;

/// Records as JSON, by the jobs' ids.
const JOBS: TableDefinition<&str, &[u8]> = TableDefinition::new("jobs");
/// Properties of the file.
const META: TableDefinition<&str, &str> = TableDefinition::new("meta");
/// Number of jobs of each batch that was added, by its name.
const BATCH_SIZES: TableDefinition<&str, u64> = TableDefinition::new("batches");
/// Key of the layout's version in [`META`].
const LAYOUT_KEY: &str = "layout";
/// Version of the layout; a file of another one is refused, not rewritten.
const LAYOUT: &str = "1";

/// A journal that this process has open.  Calls block for the disk: from
/// asynchronous code they belong on a thread for blocking work.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    database: Database,
}

impl Journal {
    /// Opens a journal, or creates one where there is no file.  A file that is
    /// no journal is left as it is.
    pub fn open(path: &Path) -> Result<Journal, JournalError> {
        // a crash while a journal is created leaves an empty file; it has no
        // job, as none is sent before it is written
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

    /// The layout that the file has; a new file gets this version's, and `None`
    /// is returned.
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

    /// All records, in the order of the jobs' ids.
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

    /// Adds new jobs, all or none, durably.  A job that is there already with the
    /// same specification stays as it is.  Returns the records as they are then;
    /// `None` if a batch of this name was added before.
    pub fn add(&self, specs: &[Arc<JobSpec>], batch: Option<&str>) -> Result<Option<Vec<JobRecord>>, JournalError> {
        self.try_add(specs, batch).map_err(|failure| failure.into_journal_error(&self.path))
    }

    fn try_add(
        &self,
        specs: &[Arc<JobSpec>],
        batch: Option<&str>,
    ) -> Result<Option<Vec<JobRecord>>, TransactionFailure> {
        // a transaction that is not committed changes nothing
        let transaction = self.database.begin_write()?;
        if let Some(batch) = batch {
            let is_known = transaction.open_table(BATCH_SIZES)?.insert(batch, specs.len() as u64)?.is_some();
            if is_known {
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

    fn insert_if_absent(&self, jobs: &mut Jobs<'_>, spec: &JobSpec) -> Result<JobRecord, TransactionFailure> {
        let Some(known) = self.get(jobs, &spec.id)? else {
            let record = JobRecord::new(spec);
            put(jobs, &spec.id, &record)?;
            return Ok(record);
        };
        if known.spec != *spec {
            return Err(JournalError::IdTaken { id: spec.id.to_string() }.into());
        }
        Ok(known)
    }

    /// Changes records, durably; ids without a record are passed over.
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
                put(&mut jobs, id, &record)?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Removes a record: its answer has been taken.
    pub fn remove(&self, id: &str) -> Result<(), JournalError> {
        self.try_remove(id).map_err(|failure| failure.into_journal_error(&self.path))
    }

    fn try_remove(&self, id: &str) -> Result<(), TransactionFailure> {
        let transaction = self.database.begin_write()?;
        transaction.open_table(JOBS)?.remove(id)?;
        transaction.commit()?;
        Ok(())
    }

    fn get(&self, jobs: &Jobs<'_>, id: &str) -> Result<Option<JobRecord>, TransactionFailure> {
        let Some(row) = jobs.get(id)? else { return Ok(None) };
        Ok(Some(self.decode_record(row.value())?))
    }
}

/// The table of records in a transaction.
type Jobs<'txn> = Table<'txn, &'static str, &'static [u8]>;

fn put(jobs: &mut Jobs<'_>, id: &str, record: &JobRecord) -> Result<(), TransactionFailure> {
    let row = serde_json::to_vec(record).unwrap_or_default();
    jobs.insert(id, &*row)?;
    Ok(())
}

#[cfg(test)]
mod tests;
