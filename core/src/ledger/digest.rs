//! Digest of a request.

use derive_more::{From, Into};

/// Digest by which a request is recognised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into)]
pub struct Digest(pub u128);

impl Digest {
    /// Digest of a complete request.
    pub fn of_request(service: &str, method: &str, path_and_query: &str, body: &[u8]) -> Digest {
        let mut builder = DigestBuilder::default();
        builder.part(service.as_bytes());
        builder.part(method.as_bytes());
        builder.part(path_and_query.as_bytes());
        builder.part(body);
        builder.finish()
    }
}

/// Computes a [`Digest`] over parts. The digest is FNV-1a with 128 bits (Fowler, Noll, Vo), which is
/// the same in every version of the program. It separates requests of the same caller and is no
/// protection against a caller who constructs collisions on purpose.
#[derive(Clone, Copy, Debug)]
pub struct DigestBuilder {
    state: u128,
}

const OFFSET_BASIS: u128 = 0x6c62272e07bb014262b821756295c58d;
const PRIME: u128 = 0x0000000001000000000000000000013b;

impl Default for DigestBuilder {
    fn default() -> Self {
        DigestBuilder {
            state: OFFSET_BASIS,
        }
    }
}

impl DigestBuilder {
    /// Adds bytes to the current part.
    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.state = (self.state ^ u128::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// Ends the current part after `len` bytes, so that bytes cannot shift between parts.
    pub fn end_part(&mut self, len: u64) {
        self.bytes(&len.to_le_bytes());
    }

    /// Adds a whole part.
    pub fn part(&mut self, bytes: &[u8]) {
        self.bytes(bytes);
        self.end_part(bytes.len() as u64);
    }

    /// Returns the digest.
    pub fn finish(&self) -> Digest {
        Digest(self.state)
    }
}
