//! Groups of VMs that share targets.
//!
//! With many VMs in a failure domain, each VM sends only a few calls a second, and its own view of
//! each of many targets is always out of date. Reports of all VMs to all others would keep it up to
//! date, but their number grows with the square of the VMs. So the VMs of a failure domain form
//! groups of at most [`MAX_GROUP_VMS`], and each group prefers its own part of the targets of each
//! service: the VMs of a group probe these targets, keep connections to them and share their load
//! reports. Calls go to other targets when those of the group are slow or full.
//!
//! Groups are consecutive ranges of the ordered VMs, and their parts are consecutive ranges of the
//! ordered targets. When a VM or a target comes or goes, only those at the borders of the ranges
//! move.

use std::ops;

/// Largest number of VMs in a group. Few enough that all of them can send each other their reports,
/// enough that a group sees an even share of the calls.
pub const MAX_GROUP_VMS: usize = 6;

/// Position of this VM in the ordered list of VMs that select from the same targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Number of VMs that precede this one.
    pub rank: usize,
    /// Number of VMs; 0 while it is not known.
    pub count: usize,
}

impl Position {
    /// Returns how far the `index`th of `len` targets is from the one that this VM prefers most.
    /// The preferred targets of the VMs are spread evenly over the list, so that two VMs use the
    /// same target as late as possible.
    pub fn distance(self, index: usize, len: usize) -> usize {
        let start = self.rank * len / self.count.max(1);
        (index + len - start.min(len)) % len.max(1)
    }

    /// Returns the group of this VM.
    pub fn group(self) -> Group {
        let count = self.count.div_ceil(MAX_GROUP_VMS).max(1);
        Group {
            index: self.rank * count / self.count.max(1),
            count,
        }
    }
}

/// One of the groups of the VMs of a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    index: usize,
    /// Number of groups.
    count: usize,
}

impl Group {
    /// Returns the range of the group in an ordered list of `len` VMs or targets.
    pub fn range(self, len: usize) -> ops::Range<usize> {
        let start = |index: usize| (index * len).div_ceil(self.count);
        start(self.index)..start(self.index + 1)
    }
}
