//! Stored answers.

use bytes::{Buf, BufMut, Bytes};

/// Largest stored body in bytes. A larger answer is kept without its body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// An answer that is replayed to a resend.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers in their order; values are arbitrary bytes.
    pub headers: Vec<(String, Bytes)>,
    /// Body, or `None` when it was too large to be stored.
    pub body: Option<Bytes>,
}

impl Answer {
    /// Returns the answer without a body that exceeds [`MAX_BODY_BYTES`].
    pub fn bounded(mut self) -> Answer {
        if self
            .body
            .as_ref()
            .is_some_and(|body| body.len() > MAX_BODY_BYTES)
        {
            self.body = None;
        }
        self
    }

    /// Encodes the answer: status, headers and body, each with its length.
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

    /// Decodes what [`Answer::encode`] wrote; `None` when the bytes are damaged.
    pub(super) fn decode(mut buf: &[u8]) -> Option<Answer> {
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
        Some(Answer {
            status,
            headers,
            body,
        })
    }

    /// Whether the lengths fit their encoding; an answer that does not is stored without headers
    /// and body.
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
