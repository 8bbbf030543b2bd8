//! Computes the size of a shard in bytes, entry by entry.
//!
//! The store limits the size of a value by its JSON encoding.  All sizes here are upper
//! bounds for that encoding, in which a comma or a colon may be followed by a space.

use crate::cluster::{MachineLocation, PlacementShard, StartRecord};
use crate::model::*;

/// Maximum size of a shard without entries, in bytes.
const EMPTY_SHARD_BYTES: usize = 64;
/// Size of the punctuation of a start, in bytes.
const START_PUNCTUATION_BYTES: usize = 10;
/// Size of the punctuation of a machine, in bytes.
const MACHINE_PUNCTUATION_BYTES: usize = 6;
/// Size of the punctuation of a job, in bytes.
const JOB_PUNCTUATION_BYTES: usize = 8;
/// Size of the punctuation of a location and of its spot flag, in bytes.
const LOCATION_PUNCTUATION_BYTES: usize = 13;
/// Size of the punctuation of a range, in bytes.
const RANGE_PUNCTUATION_BYTES: usize = 6;
/// Size of one escaped UTF-16 code unit (`\uXXXX`), in bytes.
const ESCAPED_CODE_UNIT_BYTES: usize = 6;

/// Returns the number of decimal digits of a number.
fn number_bytes(number: u64) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}

/// Returns the maximum size of a string in bytes, including its quotes, whichever characters
/// the encoder escapes.
fn text_bytes(text: &str) -> usize {
    let is_plain = |c: char| matches!(c, ' '..='~') && c != '"' && c != '\\';
    let char_bytes = |c: char| if is_plain(c) { 1 } else { ESCAPED_CODE_UNIT_BYTES * c.len_utf16() };
    2 + text.chars().map(char_bytes).sum::<usize>()
}

/// Returns the maximum size of a range in bytes.
fn range_bytes((first, end): (u32, u32)) -> usize {
    RANGE_PUNCTUATION_BYTES + number_bytes(first.into()) + number_bytes(end.into())
}

/// Returns the maximum size in bytes of a job's completed tasks without their ranges.
fn completed_job_bytes(job: &Name) -> usize {
    JOB_PUNCTUATION_BYTES + text_bytes(job)
}

/// The size of a shard to which entries are being added.
#[derive(Debug)]
pub(super) struct ShardSize {
    /// Maximum size of the encoded shard in bytes.
    bytes: usize,
    /// Locations that the shard already lists.
    locations: Vec<MachineLocation>,
    /// Machines that the shard already lists.
    machines: NameMap<()>,
    /// Jobs of which the shard already lists a start.
    jobs: NameMap<()>,
}

impl ShardSize {
    /// Returns the size of a shard without entries.
    pub(super) fn new() -> ShardSize {
        ShardSize {
            bytes: EMPTY_SHARD_BYTES,
            locations: Vec::new(),
            machines: NameMap::default(),
            jobs: NameMap::default(),
        }
    }

    /// Returns the maximum size of the shard in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reports whether the shard has no entries.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes == EMPTY_SHARD_BYTES
    }

    /// Reports whether the shard with one more start fits into `max_bytes`.
    pub(super) fn has_room_for(&self, start: &StartRecord, location: &MachineLocation, max_bytes: usize) -> bool {
        self.bytes + self.start_bytes(start, location) <= max_bytes
    }

    /// Adds the size of a start.
    pub(super) fn add_start(&mut self, start: &StartRecord, location: &MachineLocation) {
        self.bytes += self.start_bytes(start, location);
        self.machines.insert(start.machine.clone(), ());
        self.jobs.insert(start.task.job.clone(), ());
        if !self.locations.contains(location) {
            self.locations.push(location.clone());
        }
    }

    /// Adds the size of completed tasks of a job.
    pub(super) fn add_completed(&mut self, job: &Name, ranges: &TaskIndexSet) {
        self.bytes += completed_job_bytes(job) + ranges.ranges().map(range_bytes).sum::<usize>();
    }

    /// Returns the first ranges of a job's completed tasks, as many as fit into a shard of
    /// `max_bytes`.
    pub(super) fn fitting_ranges(&self, job: &Name, ranges: &TaskIndexSet, max_bytes: usize) -> TaskIndexSet {
        let mut left = max_bytes.saturating_sub(self.bytes + completed_job_bytes(job));
        let fits = |range: &(u32, u32)| {
            let bytes = range_bytes(*range);
            let fits = bytes <= left;
            left = left.saturating_sub(bytes);
            fits
        };
        ranges.first_ranges(ranges.ranges().take_while(fits).count())
    }

    /// Returns the maximum number of bytes that one more start adds.  A machine, a job and a
    /// location are counted only with the first start that refers to them.
    fn start_bytes(&self, start: &StartRecord, location: &MachineLocation) -> usize {
        let mut bytes = START_PUNCTUATION_BYTES
            + number_bytes(start.task.index.into())
            + number_bytes(start.attempt)
            + number_bytes(start.incarnation)
            + number_bytes(self.machines.len() as u64);
        if !self.machines.contains_key(&start.machine) {
            bytes += MACHINE_PUNCTUATION_BYTES + text_bytes(&start.machine) + number_bytes(self.locations.len() as u64);
        }
        if !self.jobs.contains_key(&start.task.job) {
            bytes += JOB_PUNCTUATION_BYTES + text_bytes(&start.task.job);
        }
        if !self.locations.contains(location) {
            bytes += LOCATION_PUNCTUATION_BYTES + text_bytes(&location.machine_type) + text_bytes(&location.zone);
        }
        bytes
    }
}

/// A shard to which entries are being added.
#[derive(Debug)]
pub(super) struct OpenShard {
    /// Number of the shard.
    pub(super) id: u32,
    pub(super) shard: PlacementShard,
    /// Size of the entries counted so far.
    pub(super) size: ShardSize,
}

impl OpenShard {
    /// Returns a shard without entries that was last written at `revision`; 0 if it never was.
    pub(super) fn empty(id: u32, revision: u64) -> OpenShard {
        OpenShard { id, shard: PlacementShard { revision, ..PlacementShard::default() }, size: ShardSize::new() }
    }
}
