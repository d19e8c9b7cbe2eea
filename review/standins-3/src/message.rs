//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head of a request or response.
#[derive(Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub start: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the path of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the stream.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return match head.start.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let text = line.trim_end();
        match (text.is_empty(), head.start.is_empty()) {
            (true, true) => {}
            (true, false) => return Ok(Some(head)),
            (false, true) => text.clone_into(&mut head.start),
            (false, false) => {
                if let Some((name, value)) = text.split_once(':') {
                    let field = (name.to_owned(), value.trim().to_owned());
                    head.fields.push(field);
                }
            }
        }
    }
}

/// Reads the body that belongs to a head and returns its length. A body without a length ends with
/// the stream.
pub fn read_body(reader: &mut impl BufRead, head: &Head, is_request: bool) -> io::Result<u64> {
    if head.get("Transfer-Encoding").is_some() {
        return read_chunks(reader);
    }
    match head
        .get("Content-Length")
        .and_then(|text| text.parse().ok())
    {
        Some(length) => {
            let copied = io::copy(&mut reader.take(length), &mut io::sink())?;
            match copied == length {
                true => Ok(copied),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
        None if is_request => Ok(0),
        None => io::copy(reader, &mut io::sink()),
    }
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<u64> {
    let mut total = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = line.trim().split(';').next().unwrap_or("");
        let size = u64::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let with_end = size + 2;
        let copied = io::copy(&mut reader.take(with_end), &mut io::sink())?;
        if copied != with_end {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        total += size;
        if size == 0 {
            return Ok(total);
        }
    }
}

/// Opens a connection with a timeout for connecting and reading.
pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends one request on a new connection; returns the status and the `Location` of the response.
pub fn request(
    to: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, Option<String>)> {
    let mut stream = connect(to, timeout)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\n");
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &head, false)?;
    Ok((head.status(), head.get("Location").map(str::to_owned)))
}
