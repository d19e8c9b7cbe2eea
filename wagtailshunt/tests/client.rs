//! Bodies that an HTTP client reads, over real sockets.

use std::{
    fs,
    io::{Read, Write},
    net, thread, time,
};

use hyper::{Request, Response, body::Incoming, header};
use wagtailshunt::http;

/// Pieces of the body; each arrives in a read of its own.
const PIECES: usize = 6000;

/// Far more than the body, and less than a read buffer for each piece.
const MOST_BYTES: u64 = 16 * 1024 * 1024;

fn peak_memory_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
    kib * 1024
}

/// Sends a response whose body comes a byte at a time.
fn serve(listener: &net::TcpListener) {
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_nodelay(true).unwrap();
    // Bytes before the request would close the connection.
    assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    for _ in 0..PIECES {
        thread::sleep(time::Duration::from_micros(100));
        stream.write_all(b"1\r\na\r\n").unwrap();
    }
    stream.write_all(b"0\r\n\r\n").unwrap();
}

async fn send(address: net::SocketAddr) -> Response<Incoming> {
    let limit = time::Duration::from_secs(5);
    let mut client = http::Client::connect(address, limit, || {}).await.unwrap();
    assert!(client.ready().await);
    let mut req = Request::new(http::empty());
    let host = header::HeaderValue::from_static("a.example");
    req.headers_mut().insert(header::HOST, host);
    let response = client.send(req).await;
    response.map_err(|(err, _)| err).unwrap()
}

/// Guards against pieces of a body that are kept with the read buffers in which they arrived.
#[test]
fn body_in_small_pieces_takes_no_more_than_its_length() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || serve(&listener));
    let body = compio::runtime::Runtime::new().unwrap().block_on(async {
        let response = send(address).await;
        let before = peak_memory_bytes();
        let body = http::read_whole(response.into_body(), PIECES)
            .await
            .unwrap();
        let grown = peak_memory_bytes() - before;
        assert!(grown < MOST_BYTES, "{grown} bytes");
        body
    });
    assert_eq!(body.len(), PIECES);
    server.join().unwrap();
}
