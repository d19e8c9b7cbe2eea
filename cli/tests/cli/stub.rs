//! Stub of a control daemon, and helpers that run the program.

use std::{
    cell, fs, net, path, process, rc,
    sync::{self, atomic},
    thread,
};

use compio::net::TcpListener;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use wagtailshunt::http;

/// A request that the stub received.
#[derive(Clone, Debug)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub request_id: Option<String>,
    pub key: Option<String>,
    pub body: String,
}

/// Response of the stub: status, `Location` header and body.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

impl Reply {
    pub fn new(status: u16, body: &str) -> Reply {
        Reply {
            status,
            location: None,
            body: body.to_owned(),
        }
    }
}

/// An HTTP server that sends its replies in order and repeats the last one.
pub struct Stub {
    pub address: net::SocketAddr,
    received: sync::mpsc::Receiver<Received>,
}

impl Stub {
    pub fn start(replies: Vec<Reply>) -> Stub {
        let (address_tx, address_rx) = sync::mpsc::channel();
        let (tx, received) = sync::mpsc::channel();
        thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("runtime");
            runtime.block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
                let address = listener.local_addr().expect("address");
                address_tx
                    .send(address)
                    .expect("the test waits for the address");
                serve(listener, replies, tx).await;
            });
        });
        let address = address_rx.recv().expect("stub starts");
        Stub { address, received }
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<Received> {
        self.received.try_iter().collect()
    }
}

async fn serve(listener: TcpListener, replies: Vec<Reply>, tx: sync::mpsc::Sender<Received>) {
    let next = rc::Rc::new(cell::Cell::new(0));
    let replies = rc::Rc::new(replies);
    let handler = move |request: Request<Incoming>, _peer| {
        let (next, replies, tx) = (next.clone(), replies.clone(), tx.clone());
        async move {
            tx.send(read_request(request).await)
                .expect("the test still runs");
            let reply = &replies[next.get().min(replies.len() - 1)];
            next.set(next.get() + 1);
            let mut response = Response::new(http::full(reply.body.clone()));
            *response.status_mut() = StatusCode::from_u16(reply.status).expect("status");
            if let Some(location) = &reply.location {
                let location = location.parse().expect("location");
                response.headers_mut().insert("location", location);
            }
            response
        }
    };
    let limits = http::Limits::default();
    let served = http::serve(listener, limits, http::Shutdown::default(), handler).await;
    served.expect("stub serves");
}

async fn read_request(request: Request<Incoming>) -> Received {
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let (request_id, key) = (header("request-id"), header("authorization"));
    let method = request.method().to_string();
    let path = request.uri().to_string();
    let body = request
        .into_body()
        .collect()
        .await
        .expect("body")
        .to_bytes();
    let body = String::from_utf8(body.to_vec()).expect("text");
    Received {
        method,
        path,
        request_id,
        key,
        body,
    }
}

/// Result of a run of the program.
#[derive(Debug)]
pub struct Output {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs the program to its end.
pub fn run(args: &[&str]) -> Output {
    let output = process::Command::new(env!("CARGO_BIN_EXE_wagtailshunt"))
        .args(args)
        .output()
        .expect("program runs");
    Output {
        code: output.status.code().expect("exit code"),
        stdout: String::from_utf8(output.stdout).expect("text"),
        stderr: String::from_utf8(output.stderr).expect("text"),
    }
}

/// Runs the program with the admin addresses of control daemons and a key file.
pub fn run_with(controls: &[net::SocketAddr], args: &[&str]) -> Output {
    let key = file("operator.key", "operator-key\n");
    let controls: Vec<String> = controls.iter().map(ToString::to_string).collect();
    // The last value of an option takes effect, so a test can set a shorter timeout.
    let mut all = vec!["--key-file", &key, "--timeout-ms", "120000"];
    for control in &controls {
        all.extend(["--control", control]);
    }
    all.extend(args);
    run(&all)
}

/// Writes a file to the temporary directory of the tests and returns its path.
pub fn file(name: &str, text: &str) -> String {
    static NEXT_FILE: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(process::id().to_string());
    fs::create_dir_all(&folder).expect("folder");
    let path = folder.join(name);
    // Concurrent tests write the same file; the rename keeps a partial file from being read.
    let number = NEXT_FILE.fetch_add(1, atomic::Ordering::Relaxed);
    let partial = folder.join(format!("{name}.{number}"));
    fs::write(&partial, text).expect("writable");
    fs::rename(&partial, &path).expect("renamable");
    path.to_str().expect("text").to_owned()
}

/// Returns an address that refuses connections. Port 1 is reserved, whereas another test could take
/// a freed ephemeral port.
pub fn unused_address() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 1))
}
