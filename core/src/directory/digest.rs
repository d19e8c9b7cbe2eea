//! Order-independent digest of a set of targets.

use derive_more::Display;

/// Sum of the hashes of all targets in a set. Adding and removing a target are one operation each,
/// and equal sets have equal digests in whatever order they were built.
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

/// FNV-1a with 64 bits and the finalizer of MurmurHash3, without which the sum would keep the
/// regularities of similar inputs. The standard library's hasher may change between versions of
/// the compiler, and VMs of different versions must agree.
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

    /// Adds a text and its end, so that adjacent texts cannot be confused.
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
