//! The size of a shard in bytes, counted entry by entry.
//!
//! The store limits a value by its JSON form.  The counts are upper bounds for that form,
//! in which a comma or a colon may be followed by a space.

use crate::cluster::{MachineLocation, PlacementShard, StartRecord};
use crate::model::*;

/// Most bytes of a shard without entries.
const EMPTY_BYTES: usize = 64;
/// Punctuation of a start, in bytes.
const START_BYTES: usize = 10;
/// Punctuation of a machine, in bytes.
const MACHINE_BYTES: usize = 6;
/// Punctuation of a job, in bytes.
const JOB_BYTES: usize = 8;
/// Punctuation of a location and its flag, in bytes.
const LOCATION_BYTES: usize = 13;
/// Punctuation of a range, in bytes.
const RANGE_BYTES: usize = 6;
/// Bytes of a character that is escaped, for each of its UTF-16 code units.
const ESCAPE_BYTES: usize = 6;

/// Most bytes of a number.
fn number_bytes(number: u64) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}

/// Most bytes of a string, with its quotes, however it is escaped.
fn text_bytes(text: &str) -> usize {
    let is_plain = |c: char| matches!(c, ' '..='~') && c != '"' && c != '\\';
    let char_bytes = |c: char| if is_plain(c) { 1 } else { ESCAPE_BYTES * c.len_utf16() };
    2 + text.chars().map(char_bytes).sum::<usize>()
}

/// Most bytes of a range.
fn range_bytes((first, end): (u32, u32)) -> usize {
    RANGE_BYTES + number_bytes(first.into()) + number_bytes(end.into())
}

/// Most bytes of the completed tasks of a job, apart from their ranges.
fn completed_job_bytes(job: &Name) -> usize {
    JOB_BYTES + text_bytes(job)
}

/// The size of a shard that is being filled.
#[derive(Debug)]
pub(super) struct ShardSize {
    /// Most bytes of its entries.
    bytes: usize,
    locations: Vec<MachineLocation>,
    machines: NameMap<()>,
    jobs: NameMap<()>,
}

impl ShardSize {
    /// The size of an empty shard.
    pub(super) fn new() -> ShardSize {
        ShardSize { bytes: EMPTY_BYTES, locations: Vec::new(), machines: NameMap::default(), jobs: NameMap::default() }
    }

    /// Most bytes of the shard.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether the shard has no entries.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes == EMPTY_BYTES
    }

    /// Whether one more start fits into `max_bytes`.
    pub(super) fn has_room_for(&self, start: &StartRecord, location: &MachineLocation, max_bytes: usize) -> bool {
        self.bytes + self.start_bytes(start, location) <= max_bytes
    }

    /// Counts a start.
    pub(super) fn add_start(&mut self, start: &StartRecord, location: &MachineLocation) {
        self.bytes += self.start_bytes(start, location);
        self.machines.insert(start.machine.clone(), ());
        self.jobs.insert(start.task.job.clone(), ());
        if !self.locations.contains(location) {
            self.locations.push(location.clone());
        }
    }

    /// Counts completed tasks of a job.
    pub(super) fn add_completed(&mut self, job: &Name, ranges: &Ranges) {
        self.bytes += completed_job_bytes(job) + ranges.spans().map(range_bytes).sum::<usize>();
    }

    /// As many of the first ranges of a job's completed tasks as fit into `max_bytes`.
    pub(super) fn fitting_ranges(&self, job: &Name, ranges: &Ranges, max_bytes: usize) -> Ranges {
        let mut left = max_bytes.saturating_sub(self.bytes + completed_job_bytes(job));
        let fits = |range: &(u32, u32)| {
            let bytes = range_bytes(*range);
            let fits = bytes <= left;
            left = left.saturating_sub(bytes);
            fits
        };
        ranges.first_parts(ranges.spans().take_while(fits).count())
    }

    /// Most bytes that one more start adds.
    fn start_bytes(&self, start: &StartRecord, location: &MachineLocation) -> usize {
        let mut bytes = START_BYTES
            + number_bytes(start.task.index.into())
            + number_bytes(start.attempt)
            + number_bytes(start.incarnation)
            + number_bytes(self.machines.len() as u64);
        if !self.machines.contains_key(&start.machine) {
            bytes += MACHINE_BYTES + text_bytes(&start.machine) + number_bytes(self.locations.len() as u64);
        }
        if !self.jobs.contains_key(&start.task.job) {
            bytes += JOB_BYTES + text_bytes(&start.task.job);
        }
        if !self.locations.contains(location) {
            bytes += LOCATION_BYTES + text_bytes(&location.kind) + text_bytes(&location.zone);
        }
        bytes
    }
}

/// A shard that is being filled, with its size.
#[derive(Debug)]
pub(super) struct OpenShard {
    /// Its number.
    pub(super) id: u32,
    /// Its entries.
    pub(super) shard: PlacementShard,
    /// Their size.
    pub(super) size: ShardSize,
}

impl OpenShard {
    /// A shard without entries, last written at `revision`.
    pub(super) fn empty(id: u32, revision: u64) -> OpenShard {
        OpenShard { id, shard: PlacementShard { revision, ..PlacementShard::default() }, size: ShardSize::new() }
    }
}
