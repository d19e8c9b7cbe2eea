//! HTTP/1.1 messages on blocking sockets, as far as the stand-ins need them.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net, time,
};

/// A request or response: the words of its first line, its headers and its body.
pub struct Message {
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        let found = all.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let text = self.first.get(1);
        text.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a length; `None` if the connection ends before its first byte.
pub fn read(reader: &mut BufReader<net::TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.split_whitespace().map(str::to_owned).collect();
    let mut message = Message {
        first,
        headers: Vec::new(),
        body: Vec::new(),
    };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((key, value)) = text.split_once(':') {
            message
                .headers
                .push((key.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Connects with timeouts for connecting, reading and writing.
pub fn connect(to: net::SocketAddr, timeout: time::Duration) -> io::Result<net::TcpStream> {
    let stream = net::TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends one request on a new connection and reads its response.
pub fn call(
    to: net::SocketAddr,
    timeout: time::Duration,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Message> {
    let mut stream = connect(to, timeout)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    if !headers.iter().any(|(key, _)| *key == "Host") {
        head += &format!("Host: {to}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    stream.write_all((head + "\r\n").as_bytes())?;
    stream.write_all(body)?;
    let answer = read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
