//! Digest of a request, by which a resend under the same idempotency key is compared with the first
//! request.

use derive_more::{From, Into};

/// 128-bit digest of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into)]
pub struct Digest(pub u128);

impl Digest {
    /// Returns the digest of a complete request.
    pub fn of_request(service: &str, method: &str, path_and_query: &str, body: &[u8]) -> Digest {
        let mut builder = DigestBuilder::default();
        builder.part(service.as_bytes());
        builder.part(method.as_bytes());
        builder.part(path_and_query.as_bytes());
        builder.part(body);
        builder.finish()
    }
}

/// Computes a [`Digest`] over a sequence of parts. The digest is FNV-1a with 128 bits (Fowler,
/// Noll, Vo), which is the same in every version of the program. It distinguishes requests of the
/// same caller and does not protect against a caller who constructs collisions on purpose.
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

    /// Ends the current part of `len` bytes. The length is part of the digest, so that moving bytes
    /// from one part to the next changes it.
    pub fn end_part(&mut self, len: u64) {
        self.bytes(&len.to_le_bytes());
    }

    /// Adds a whole part.
    pub fn part(&mut self, bytes: &[u8]) {
        self.bytes(bytes);
        self.end_part(bytes.len() as u64);
    }

    /// Returns the digest of all parts so far.
    pub fn finish(&self) -> Digest {
        Digest(self.state)
    }
}
