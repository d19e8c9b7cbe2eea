//! HTTP/1.1 messages with a body of known length, over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message head and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        let value = self.header("connection").unwrap_or("");
        value.to_ascii_lowercase().contains("close")
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        // Small messages wait for acknowledgements otherwise.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Connection::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 64 * 1024];
        let n = self.stream.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(())
    }

    /// Reads the next message whole.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let length = message.header("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buf.len() < length {
            self.fill()?;
        }
        message.body = self.buf.drain(..length).collect();
        Ok(message)
    }

    /// Reads the next head; the body stays unread.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            match self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let head: Vec<u8> = self.buf.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers = pairs.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Ok(Message {
            first,
            headers: headers.collect(),
            body: Vec::new(),
        })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Encodes a message.
pub fn encode(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    connection.write(&encode(first, headers, body))?;
    connection.read()
}
