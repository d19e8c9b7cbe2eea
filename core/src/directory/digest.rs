//! Order-independent digest of a set of targets, which the leader and the gateways compare.

use derive_more::Display;

/// Sum of the hashes of all targets in a set.
///
/// Adding or removing a target takes one addition or subtraction, and equal sets have equal digests
/// regardless of the order in which they were built.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{_0:016x}")]
pub struct Digest(pub u64);

impl Digest {
    pub(crate) fn add(&mut self, hash: u64) {
        self.0 = self.0.wrapping_add(hash);
    }

    pub(crate) fn remove(&mut self, hash: u64) {
        self.0 = self.0.wrapping_sub(hash);
    }
}

/// 64-bit FNV-1a with the finalizer of MurmurHash3. Without the finalizer, the hashes of similar
/// inputs are correlated and their sums collide more easily.
///
/// The hasher of the standard library is not used because it may change between compiler versions,
/// and VMs that run different versions must compute the same digests.
#[derive(Clone, Debug)]
pub(crate) struct Hash(u64);

impl Default for Hash {
    fn default() -> Self {
        Hash(0xcbf2_9ce4_8422_2325)
    }
}

impl Hash {
    fn byte(&mut self, byte: u8) {
        self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }

    /// Adds a text and a terminator, so that moving bytes between adjacent texts changes the hash.
    pub fn text(&mut self, text: &str) {
        text.bytes().for_each(|byte| self.byte(byte));
        self.byte(0xff);
    }

    pub fn number(&mut self, number: u64) {
        number
            .to_le_bytes()
            .into_iter()
            .for_each(|byte| self.byte(byte));
    }

    pub fn finish(&self) -> u64 {
        let mut hash = self.0;
        hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        hash ^ (hash >> 33)
    }
}
