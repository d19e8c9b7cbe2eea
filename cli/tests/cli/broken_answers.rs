//! Responses of control daemons that are broken in their head, their framing or their end: none of
//! them is a success, and a change is resent with the same request id.

use std::{
    io::{Read, Write},
    net,
    sync::{self, atomic},
    thread,
};

use crate::stub::{file, run_with};

const RECORD: &str = r#"{"schema": 1, "kind": "service", "name": "bookings", "spec": {"hosts": ["bookings.example"]}}"#;

/// A whole body of a successful change.
const IN_FORCE: &str = r#"{"reply": {"accepted": {"revision": 7}}, "in_force": true, "holding_back": [], "in_force_ms": 12}"#;

/// Bytes that a server without end sends at most: more than any response has.
const MOST_BYTES: usize = 256 * 1024 * 1024;

/// A server that sends these bytes in response to each request, `repeated` again and again, and then
/// ends the connection.
struct RawStub {
    address: net::SocketAddr,
    /// Heads of the requests.
    heads: sync::mpsc::Receiver<String>,
    sent: sync::Arc<atomic::AtomicUsize>,
}

impl RawStub {
    fn start(text: String, repeated: &'static [u8]) -> RawStub {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("address");
        let (tx, heads) = sync::mpsc::channel();
        let sent = sync::Arc::new(atomic::AtomicUsize::new(0));
        let shared = sent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serve(stream, &text, repeated, &tx, &shared);
            }
        });
        RawStub {
            address,
            heads,
            sent,
        }
    }

    /// Returns the ids of the requests received so far.
    fn request_ids(&self) -> Vec<String> {
        let heads = self.heads.try_iter();
        let id = |head: String| {
            let line = head.lines().find(|line| line.starts_with("request-id:"));
            line.expect("request id").to_owned()
        };
        heads.map(id).collect()
    }
}

fn serve(
    mut stream: net::TcpStream,
    text: &str,
    repeated: &[u8],
    heads: &sync::mpsc::Sender<String>,
    sent: &atomic::AtomicUsize,
) {
    let mut received = String::new();
    let mut buf = [0; 4096];
    // The request has its body in the same write as its head, or none.
    while !received.contains("\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => received.push_str(&String::from_utf8_lossy(&buf[..n])),
            _ => return,
        }
    }
    if heads.send(received.to_ascii_lowercase()).is_err() {
        return;
    }
    let mut result = stream.write_all(text.as_bytes());
    while !repeated.is_empty() && result.is_ok() {
        if sent.fetch_add(repeated.len(), atomic::Ordering::Relaxed) > MOST_BYTES {
            return;
        }
        result = stream.write_all(repeated);
    }
}

fn check_no_success(text: &str) {
    let record = file("broken.json", RECORD);
    let stub = RawStub::start(text.to_owned(), b"");
    let args = ["put", &record, "--timeout-ms", "600"];
    let output = run_with(&[stub.address], &args);
    assert_eq!(output.code, 3, "{text:?}: {output:?}");
    let ids = stub.request_ids();
    assert!(ids.len() > 1, "{text:?}: not resent");
    assert!(ids.iter().all(|id| *id == ids[0]), "{text:?}: {ids:?}");
    let output = run_with(&[stub.address], &["status", "--timeout-ms", "300"]);
    assert_eq!(output.code, 3, "{text:?}: {output:?}");
}

/// Guards against a body that breaks off and counts as complete because the connection ends.
#[test]
fn response_that_ends_with_the_connection_is_no_success() {
    let length = IN_FORCE.len();
    for text in [
        format!("HTTP/1.1 200 OK\r\n\r\n{IN_FORCE}"),
        format!(
            "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{}",
            &IN_FORCE[..40]
        ),
        format!("HTTP/1.0 200 OK\r\n\r\n{IN_FORCE}"),
        format!("HTTP/1.1 409 Conflict\r\n\r\n{}", &IN_FORCE[..40]),
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{IN_FORCE}",
            length + 1
        ),
        format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{IN_FORCE}\r\n"
        ),
        "HTTP/1.1 200 OK\r\ncontent-".to_owned(),
    ] {
        check_no_success(&text);
    }
}

/// Guards against a head that hyper accepts, but that answers no request or does not tell the body.
#[test]
fn response_with_an_invalid_head_is_no_success() {
    let body = format!("content-length: {}\r\n\r\n{IN_FORCE}", IN_FORCE.len());
    for start in [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 101 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 200 OK\r\nx field: v",
        "HTTP/1.1 200 OK\r\nx\x01field: v",
        "HTTP/1.1 200 OK\r\nx-field: a\x01b",
        "HTTP/1.1 200 OK\r\nx-field: a\r\n folded",
        "HTTP/1.1 200 OK\r\n: v",
        "HTTP/1.1 200 OK\r\ncontent-length: 1",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: xchunked",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip",
    ] {
        check_no_success(&format!("{start}\r\n{body}"));
    }
}

/// Guards against bytes without end that are kept in memory.
#[test]
fn response_without_end_is_given_up() {
    for (text, repeated) in [
        ("HTTP/1.1 200 OK\r\n\r\n", &[b'a'; 4096][..]),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"8\r\naaaaaaaa\r\n",
        ),
        ("HTTP/1.1 200 OK\r\nx-field: ", &[b'a'; 4096]),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n",
            &[b'a'; 4096],
        ),
        ("", b"HTTP/1.1 102 Processing\r\n\r\n"),
    ] {
        let stub = RawStub::start(text.to_owned(), repeated);
        let output = run_with(&[stub.address], &["status", "--timeout-ms", "2000"]);
        assert_eq!(output.code, 3, "{text:?}: {output:?}");
        let sent = stub.sent.load(atomic::Ordering::Relaxed);
        let attempts = stub.heads.try_iter().count();
        assert!(
            sent / attempts < MOST_BYTES / 2,
            "{text:?}: {sent} bytes in {attempts} attempts"
        );
    }
}
