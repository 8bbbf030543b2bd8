//! What a page takes.

use crate::cluster::{MachineLocation, StartRecord};
use crate::model::*;

/// Most that a number takes.
fn digits(n: u64) -> usize {
    n.checked_ilog10().map_or(1, |d| d as usize + 1)
}

/// Most that a text takes, with quotes, however it is escaped.
fn text(s: &str) -> usize {
    let plain = |c: char| matches!(c, ' '..='~') && c != '"' && c != '\\';
    2 + s.chars().map(|c| if plain(c) { 1 } else { 6 * c.len_utf16() }).sum::<usize>()
}

/// Most that a page without entries takes.
pub(super) const EMPTY: usize = 64;

/// What a page takes in the form that is counted, entry by entry; a comma or a
/// colon may come with a space.
#[derive(Debug)]
pub(super) struct ShardBuilder {
    pub(super) bytes: usize,
    pools: Vec<MachineLocation>,
    machines: NameMap<()>,
    jobs: NameMap<()>,
}

impl ShardBuilder {
    pub(super) fn new() -> ShardBuilder {
        ShardBuilder { bytes: EMPTY, pools: Vec::new(), machines: NameMap::default(), jobs: NameMap::default() }
    }

    /// What one more start takes.
    pub(super) fn start(&self, s: &StartRecord, at: &MachineLocation) -> usize {
        let mut bytes = 10 + digits(s.task.index.into()) + digits(s.attempt) + digits(s.incarnation);
        bytes += digits(self.machines.len() as u64);
        if !self.machines.contains_key(&s.machine) {
            bytes += 6 + text(&s.machine) + digits(self.pools.len() as u64);
        }
        if !self.jobs.contains_key(&s.task.job) {
            bytes += 8 + text(&s.task.job);
        }
        if !self.pools.contains(at) {
            bytes += 13 + text(&at.0) + text(&at.1);
        }
        bytes
    }

    pub(super) fn add_start(&mut self, s: &StartRecord, at: &MachineLocation) {
        self.bytes += self.start(s, at);
        self.machines.insert(s.machine.clone(), ());
        self.jobs.insert(s.task.job.clone(), ());
        if !self.pools.contains(at) {
            self.pools.push(at.clone());
        }
    }

    /// What completed tasks take: the name of their job, and then each range.
    fn done(job: &Name) -> usize {
        8 + text(job)
    }

    fn range((a, b): (u32, u32)) -> usize {
        6 + digits(a.into()) + digits(b.into())
    }

    pub(super) fn add_done(&mut self, job: &Name, ranges: &Ranges) {
        self.bytes += ShardBuilder::done(job) + ranges.spans().map(ShardBuilder::range).sum::<usize>();
    }

    /// As many of the first ranges as fit.
    pub(super) fn fitting(&self, job: &Name, ranges: &Ranges, most: usize) -> Ranges {
        let mut left = most.saturating_sub(self.bytes + ShardBuilder::done(job));
        let fits = |r: &(u32, u32)| {
            let bytes = ShardBuilder::range(*r);
            let fits = bytes <= left;
            left = left.saturating_sub(bytes);
            fits
        };
        ranges.first_parts(ranges.spans().take_while(fits).count())
    }
}
