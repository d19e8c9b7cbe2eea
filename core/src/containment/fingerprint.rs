//! Fingerprint of a request, by which every gateway recognises the same request when it is sent
//! again.

use std::{fmt, str};

use derive_more::{Display, Error};

use crate::ledger;

/// 128-bit fingerprint of a request, displayed as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

/// Part of a request that distinguishes it from others with the same service, method and path.
#[derive(Clone, Copy, Debug)]
pub enum Identity {
    /// Digest of the body, for a request without an idempotency key.
    Body(ledger::Digest),
    /// Idempotency key of the request.
    Key(ledger::Key),
}

/// Error for a text that is not a fingerprint.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("invalid fingerprint: expected 32 hexadecimal digits")]
pub struct FingerprintError;

impl Fingerprint {
    /// Computes the fingerprint from the parts of a request.
    pub fn new(service: &str, method: &str, path_and_query: &str, identity: Identity) -> Self {
        let mut builder = ledger::DigestBuilder::default();
        builder.part(service.as_bytes());
        builder.part(method.as_bytes());
        builder.part(path_and_query.as_bytes());
        match identity {
            Identity::Body(digest) => builder.part(&digest.0.to_le_bytes()),
            Identity::Key(key) => builder.part(&key.bits().to_le_bytes()),
        }
        Fingerprint(builder.finish().0)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl str::FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(FingerprintError);
        }
        let bits = u128::from_str_radix(text, 16);
        bits.map(Fingerprint).map_err(|_| FingerprintError)
    }
}
