//! Responses stored with completed keys, and their encoding.

use bytes::{Buf, BufMut, Bytes};

/// Maximum size of a stored body in bytes. A larger response is stored without its body.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// A response that is replayed to a resend.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers in their order. Values are arbitrary bytes.
    pub headers: Vec<(String, Bytes)>,
    /// Body, or `None` if it was too large to be stored.
    pub body: Option<Bytes>,
}

impl StoredResponse {
    /// Returns the response without its body if that exceeds [`MAX_STORED_BODY_BYTES`].
    pub fn bounded(mut self) -> StoredResponse {
        if self
            .body
            .as_ref()
            .is_some_and(|body| body.len() > MAX_STORED_BODY_BYTES)
        {
            self.body = None;
        }
        self
    }

    /// Encodes the response: the status, the headers with their lengths, and the body.
    pub(super) fn encode(&self) -> Box<[u8]> {
        let mut buf = Vec::with_capacity(self.encoded_len());
        buf.put_u16_le(self.status);
        buf.put_u16_le(self.headers.len() as u16);
        for (name, value) in &self.headers {
            buf.put_u16_le(name.len() as u16);
            buf.put_slice(name.as_bytes());
            buf.put_u16_le(value.len() as u16);
            buf.put_slice(value);
        }
        match &self.body {
            None => buf.put_u8(0),
            Some(body) => {
                buf.put_u8(1);
                buf.put_slice(body);
            }
        }
        buf.into_boxed_slice()
    }

    fn encoded_len(&self) -> usize {
        let header_len = |(name, value): &(String, Bytes)| 4 + name.len() + value.len();
        let headers: usize = self.headers.iter().map(header_len).sum();
        5 + headers + self.body.as_ref().map_or(0, Bytes::len)
    }

    /// Decodes the output of [`StoredResponse::encode`], or returns `None` if the bytes are
    /// damaged.
    pub(super) fn decode(mut buf: &[u8]) -> Option<StoredResponse> {
        let status = buf.try_get_u16_le().ok()?;
        let count = buf.try_get_u16_le().ok()?;
        let mut headers = Vec::with_capacity(usize::from(count.min(256)));
        for _ in 0..count {
            let name = String::from_utf8(take(&mut buf)?.to_vec()).ok()?;
            let value = Bytes::copy_from_slice(take(&mut buf)?);
            headers.push((name, value));
        }
        let body = match buf.try_get_u8().ok()? {
            0 if buf.is_empty() => None,
            1 => Some(Bytes::copy_from_slice(buf)),
            _ => return None,
        };
        Some(StoredResponse {
            status,
            headers,
            body,
        })
    }

    /// Returns `true` if the number and lengths of the headers fit their encoding. Otherwise the
    /// response is stored without headers and body.
    pub(super) fn is_encodable(&self) -> bool {
        let fits = |len: usize| u16::try_from(len).is_ok();
        let header_fits = |(name, value): &(String, Bytes)| fits(name.len()) && fits(value.len());
        fits(self.headers.len()) && self.headers.iter().all(header_fits)
    }
}

fn take<'a>(buf: &mut &'a [u8]) -> Option<&'a [u8]> {
    let len = usize::from(buf.try_get_u16_le().ok()?);
    let (head, tail) = buf.split_at_checked(len)?;
    *buf = tail;
    Some(head)
}
