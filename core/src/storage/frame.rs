//! Encoding of frames, the units in which files are written: `[length u32][crc32 u32][payload]`,
//! little-endian.
//!
//! The checksum covers the length field and the payload, and a length of zero is invalid, so a run
//! of zero bytes is never a valid frame. Every batch of log records is one frame, which is synced
//! before the next one is written. Therefore only the last frame of the last segment can be torn.

/// Size in bytes of the length and checksum fields before the payload.
pub const FRAME_HEADER_BYTES: usize = 8;

/// Largest payload in bytes. A length field above it is invalid.
pub const MAX_FRAME_BYTES: usize = 1 << 30;

/// Reason why no frame could be decoded at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InvalidFrame {
    /// The bytes end within the header or the payload.
    Incomplete,
    /// The length field is zero or larger than [`MAX_FRAME_BYTES`].
    Length,
    /// The checksum does not match the length and the payload.
    Checksum,
}

impl InvalidFrame {
    pub(super) fn reason(self) -> &'static str {
        match self {
            InvalidFrame::Incomplete => "frame is incomplete",
            InvalidFrame::Length => "frame length is out of range",
            InvalidFrame::Checksum => "frame checksum does not match",
        }
    }
}

fn checksum(length: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(payload);
    hasher.finalize()
}

/// Returns a buffer with a blank header and capacity for `capacity` bytes of payload, which the
/// caller appends.
pub(super) fn begin(capacity: usize) -> Vec<u8> {
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + capacity);
    frame.resize(FRAME_HEADER_BYTES, 0);
    frame
}

/// Fills in the header of a frame that was started with [`begin`].
///
/// # Panics
///
/// Panics when the payload is empty or longer than [`MAX_FRAME_BYTES`].
pub(super) fn finish(mut frame: Vec<u8>) -> Vec<u8> {
    let (header, payload) = frame.split_at_mut(FRAME_HEADER_BYTES);
    assert!(!payload.is_empty() && payload.len() <= MAX_FRAME_BYTES);
    let length = (payload.len() as u32).to_le_bytes();
    header[..4].copy_from_slice(&length);
    header[4..].copy_from_slice(&checksum(length, payload).to_le_bytes());
    frame
}

fn first_four_bytes(bytes: &[u8]) -> [u8; 4] {
    [bytes[0], bytes[1], bytes[2], bytes[3]]
}

/// Returns the payload of the frame at the start of `bytes`.
pub(super) fn decode(bytes: &[u8]) -> Result<&[u8], InvalidFrame> {
    if bytes.len() < FRAME_HEADER_BYTES {
        return Err(InvalidFrame::Incomplete);
    }
    let length = first_four_bytes(bytes);
    let size = u32::from_le_bytes(length) as usize;
    if size == 0 || size > MAX_FRAME_BYTES {
        return Err(InvalidFrame::Length);
    }
    let expected = u32::from_le_bytes(first_four_bytes(&bytes[4..]));
    let payload = bytes
        .get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + size)
        .ok_or(InvalidFrame::Incomplete)?;
    if checksum(length, payload) != expected {
        return Err(InvalidFrame::Checksum);
    }
    Ok(payload)
}

/// Returns the offset of the first complete frame in `bytes` at or after `from`, at any byte.
///
/// A valid frame after an invalid one proves that the invalid one had been synced. A checksum of 32
/// bits makes a match by chance improbable; such a match stops the process and loses no data.
pub(super) fn find(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find(|&offset| decode(&bytes[offset..]).is_ok())
}
