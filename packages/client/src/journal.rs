//! The journal on disk: each job is in it before anything is sent, and its
//! final answer before anyone is told.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use coralnotch_wire::model::{JobSpec, Name};
use redb::{Database, DatabaseError, ReadableTable, StorageError, TableDefinition};

use crate::model::JobRecord;

mod error;

pub use error::JournalError;

use error::{from_io_error, from_redb_error, LAYOUT};

const JOBS: TableDefinition<&str, &[u8]> = TableDefinition::new("jobs");
const META: TableDefinition<&str, &str> = TableDefinition::new("meta");
/// Batches that were taken in, with how many jobs they had.
const BATCH_SIZES: TableDefinition<&str, u64> = TableDefinition::new("batches");
/// A journal that this process has open.  Calls block for the disk: from
/// asynchronous code they belong on a thread for that.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    db: Database,
}

/// What the store says, small enough to be handed on.
struct BoxedRedbError(Box<redb::Error>);

macro_rules! from_redb_errors {
    ($($error:ident)*) => {
        $(impl From<redb::$error> for BoxedRedbError {
            fn from(e: redb::$error) -> BoxedRedbError {
                BoxedRedbError(Box::new(e.into()))
            }
        })*
    };
}
from_redb_errors!(TransactionError TableError StorageError CommitError);

impl Journal {
    /// Opens a journal, or makes one where there is no file.  A file that is
    /// no journal is left as it is.
    pub fn open(path: &Path) -> Result<Journal, JournalError> {
        let of = |e: redb::Error| from_redb_error(path, e);
        // an empty file is what a crash leaves of a journal's first moment; it
        // has no job, as none is sent before it is written
        let db = Database::create(path).map_err(|e| match e {
            DatabaseError::Storage(StorageError::Io(e)) => from_io_error(path, &e),
            e => of(e.into()),
        })?;
        let journal = Journal { path: path.to_owned(), db };
        let found = journal.ensure_layout()?;
        match found.as_deref() {
            None | Some(LAYOUT) => Ok(journal),
            Some(other) => Err(JournalError::UnsupportedLayout { path: path.to_owned(), found: other.to_owned() }),
        }
    }

    /// The layout on record; a new journal gets this version's.
    fn ensure_layout(&self) -> Result<Option<String>, JournalError> {
        let run = || -> Result<Option<String>, BoxedRedbError> {
            let txn = self.db.begin_write()?;
            let found = {
                let mut meta = txn.open_table(META)?;
                txn.open_table(JOBS)?;
                let found = meta.get("layout")?.map(|v| v.value().to_owned());
                if found.is_none() {
                    meta.insert("layout", LAYOUT)?;
                }
                found
            };
            match found {
                Some(_) => txn.abort()?,
                None => txn.commit()?,
            }
            Ok(found)
        };
        run().map_err(|t| from_redb_error(&self.path, *t.0))
    }

    /// All jobs on record, in the order of their ids.
    pub fn read_all(&self) -> Result<Vec<JobRecord>, JournalError> {
        let run = || -> Result<Vec<Vec<u8>>, BoxedRedbError> {
            let txn = self.db.begin_read()?;
            let jobs = txn.open_table(JOBS)?;
            let mut all = Vec::new();
            for row in jobs.iter()? {
                all.push(row?.1.value().to_vec());
            }
            Ok(all)
        };
        let rows = run().map_err(|t| from_redb_error(&self.path, *t.0))?;
        rows.iter().map(|r| self.decode_record(r)).collect()
    }

    fn decode_record(&self, row: &[u8]) -> Result<JobRecord, JournalError> {
        serde_json::from_slice(row)
            .map_err(|e| JournalError::Corrupt { path: self.path.clone(), reason: e.to_string() })
    }

    /// Puts new jobs on record, all or none, durably.  A job that is there
    /// already with the same submission stays as it is.  Returns the records
    /// as they stand; `None` if a batch of this name was added before.
    pub fn add(&self, specs: &[Arc<JobSpec>], batch: Option<&str>) -> Result<Option<Vec<JobRecord>>, JournalError> {
        let run = || -> Result<Result<Option<Vec<JobRecord>>, JournalError>, BoxedRedbError> {
            let txn = self.db.begin_write()?;
            if let Some(batch) = batch {
                let known = txn.open_table(BATCH_SIZES)?.insert(batch, specs.len() as u64)?.is_some();
                if known {
                    return Ok(Ok(None));
                }
            }
            let mut records = Vec::with_capacity(specs.len());
            {
                let mut jobs = txn.open_table(JOBS)?;
                for spec in specs {
                    let old = jobs.get(&*spec.id)?.map(|v| self.decode_record(v.value()));
                    let record = match old {
                        Some(Ok(r)) if r.spec == **spec => r,
                        Some(Ok(_)) => return Ok(Err(JournalError::IdTaken { id: spec.id.to_string() })),
                        Some(Err(e)) => return Ok(Err(e)),
                        None => {
                            let r = JobRecord {
                                spec: (**spec).clone(),
                                accepted: false,
                                cancel_requested: false,
                                answer: None,
                            };
                            jobs.insert(&*spec.id, &*serde_json::to_vec(&r).unwrap_or_default())?;
                            r
                        }
                    };
                    records.push(record);
                }
            }
            txn.commit()?;
            Ok(Ok(Some(records)))
        };
        run().map_err(|t| from_redb_error(&self.path, *t.0))?
    }

    /// Changes records, durably; those that are not there are passed over.
    pub fn update(&self, ids: &[Name], how: impl Fn(&mut JobRecord)) -> Result<(), JournalError> {
        let run = || -> Result<Result<(), JournalError>, BoxedRedbError> {
            let txn = self.db.begin_write()?;
            {
                let mut jobs = txn.open_table(JOBS)?;
                for id in ids {
                    let old = jobs.get(&**id)?.map(|v| self.decode_record(v.value()));
                    let mut record = match old {
                        None => continue,
                        Some(Ok(r)) => r,
                        Some(Err(e)) => return Ok(Err(e)),
                    };
                    how(&mut record);
                    jobs.insert(&**id, &*serde_json::to_vec(&record).unwrap_or_default())?;
                }
            }
            txn.commit()?;
            Ok(Ok(()))
        };
        run().map_err(|t| from_redb_error(&self.path, *t.0))?
    }

    /// Removes a record: its answer has been taken.
    pub fn remove(&self, id: &str) -> Result<(), JournalError> {
        let run = || -> Result<(), BoxedRedbError> {
            let txn = self.db.begin_write()?;
            txn.open_table(JOBS)?.remove(id)?;
            txn.commit()?;
            Ok(())
        };
        run().map_err(|t| from_redb_error(&self.path, *t.0))
    }
}

#[cfg(test)]
mod tests;
