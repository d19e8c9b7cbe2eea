//! Digests of a directory, by which two VMs find out which targets they know differently without
//! exchanging the whole list.
//!
//! Targets are divided into buckets by their id. The digest of a bucket does not depend on the order
//! in which its targets were registered.

use super::{Announcement, Directory, TargetEntry};
use crate::types;

/// Number of buckets. With some hundred targets, a bucket holds a few tens of them, and the digests
/// take 256 bytes of a message.
pub const BUCKETS: usize = 32;

/// Digests of the buckets of one directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests([u64; BUCKETS]);

impl Digests {
    /// Converts digests received from another VM; `None` if their number differs.
    pub fn from_slice(digests: &[u64]) -> Option<Digests> {
        digests.try_into().ok().map(Digests)
    }

    /// Returns the digests in the order of the buckets.
    pub fn as_slice(&self) -> &[u64] {
        &self.0
    }

    /// Adds a target that isn't included, or removes one that is.
    pub(super) fn toggle(&mut self, target: Summary) {
        self.0[target.bucket] ^= target.digest;
    }

    /// Returns one digest over all buckets; never 0.
    pub fn total(&self) -> u64 {
        let mut hash = Fnv::default();
        self.0
            .iter()
            .for_each(|digest| hash.add(&digest.to_le_bytes()));
        hash.finish().max(1)
    }

    /// Returns the buckets whose targets differ.
    pub fn differing(&self, other: &Digests) -> Vec<usize> {
        (0..BUCKETS).filter(|i| self.0[*i] != other.0[*i]).collect()
    }
}

impl Directory {
    /// Returns the digests of the registered targets.
    pub fn digests(&self) -> Digests {
        self.digests
    }

    /// Returns the registered targets of a bucket.
    pub fn in_bucket(&self, index: usize) -> impl Iterator<Item = &TargetEntry> {
        self.targets()
            .filter(move |entry| entry.summary.bucket == index)
    }
}

/// Bucket and digest of a registered target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Summary {
    bucket: usize,
    digest: u64,
}

impl Summary {
    /// Computes the summary of an announcement.
    pub(super) fn new(announcement: &Announcement) -> Summary {
        Summary {
            bucket: bucket(&announcement.target),
            digest: digest(announcement),
        }
    }
}

/// Returns the bucket of a target.
pub fn bucket(target: &types::TargetId) -> usize {
    let mut hash = Fnv::default();
    hash.add(target.as_str().as_bytes());
    (hash.finish() % BUCKETS as u64) as usize
}

fn digest(announcement: &Announcement) -> u64 {
    let mut hash = Fnv::default();
    hash.add(announcement.target.as_str().as_bytes());
    hash.add(&announcement.born.0.to_le_bytes());
    hash.add(announcement.address.to_string().as_bytes());
    hash.finish()
}

/// Digest of a set of elements that does not depend on their order.
#[derive(Clone, Copy, Debug, Default)]
pub struct SetDigest(u64);

impl SetDigest {
    /// Adds an element.
    pub fn add(&mut self, element: &[u8]) {
        let mut hash = Fnv::default();
        hash.add(element);
        self.0 ^= hash.finish();
    }

    /// Returns the digest; never 0.
    pub fn finish(self) -> u64 {
        self.0.max(1)
    }
}

/// Hash function FNV-1a with 64 bits, followed by a step that mixes the high bits into the low ones.
#[derive(Clone, Copy, Debug)]
struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Fnv(0xcbf2_9ce4_8422_2325)
    }
}

impl Fnv {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn finish(self) -> u64 {
        let mixed = (self.0 ^ self.0 >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^ mixed >> 29
    }
}
