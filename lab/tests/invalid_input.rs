//! Invalid input from callers, targets, operators and other processes, over real sockets.

mod support;

use std::{
    io::{Read, Write},
    net, thread, time,
};

use bytes::{Bytes, BytesMut};
use hyper::{Method, StatusCode};
use support::{
    Folder, block_on, outcome, put_record, request, send, start_cluster, start_target,
    wait_for_answer,
};
use wagtailshunt_lab::{cluster, load::client};
use wagtailshunt_wire::{codec, generated::envelope};

/// Writes raw bytes and returns the bytes received until the connection ends or is idle for 2 s.
async fn send_raw(address: net::SocketAddr, bytes: Vec<u8>) -> String {
    let (tx, rx) = futures_channel::oneshot::channel();
    // The cluster runs on this thread, so the blocking client needs another one.
    thread::spawn(move || {
        let mut stream = net::TcpStream::connect(address).expect("connect");
        stream
            .set_read_timeout(Some(time::Duration::from_secs(2)))
            .expect("timeout");
        let _ = stream.write_all(&bytes);
        let mut answer = Vec::new();
        let mut buf = [0; 4096];
        while let Ok(read) = stream.read(&mut buf) {
            if read == 0 {
                break;
            }
            answer.extend_from_slice(&buf[..read]);
        }
        let _ = tx.send(String::from_utf8_lossy(&answer).into_owned());
    });
    rx.await.expect("client thread")
}

/// Guards against request smuggling, by requests that gateway and target could parse differently.
#[test]
fn ambiguous_requests_of_callers_are_refused() {
    let folder = Folder::new("smuggling");
    block_on(async {
        let cluster = start_cluster(&folder, 1, 1).await;
        let target = start_target(&cluster, "one", |_| {}).await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        let address = cluster.gateways[0].as_ref().expect("gateway").listen();
        let before = target.counters().started;
        let host = "Host: bookings.example\r\nConnection: close\r\n";
        let shapes = [
            (
                "both lengths",
                format!(
                    "POST / HTTP/1.1\r\n{host}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                ),
            ),
            (
                "two lengths",
                format!(
                    "POST / HTTP/1.1\r\n{host}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd"
                ),
            ),
            (
                "bad length",
                format!("POST / HTTP/1.1\r\n{host}Content-Length: -1\r\n\r\n"),
            ),
            (
                "odd coding",
                format!("POST / HTTP/1.1\r\n{host}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"),
            ),
            (
                "two hosts",
                format!("GET / HTTP/1.1\r\n{host}Host: other.example\r\n\r\n"),
            ),
            (
                "no host",
                "GET / HTTP/1.1\r\nConnection: close\r\n\r\n".to_owned(),
            ),
            (
                "blank in name",
                format!("GET / HTTP/1.1\r\n{host}Transfer-Encoding : chunked\r\n\r\n"),
            ),
            (
                "connect",
                format!("CONNECT bookings.example:443 HTTP/1.1\r\n{host}\r\n"),
            ),
            (
                "upgrade",
                format!("GET / HTTP/1.1\r\n{host}Upgrade: websocket\r\n\r\n"),
            ),
            (
                "oversized head",
                format!("GET / HTTP/1.1\r\n{host}X: {}\r\n\r\n", "a".repeat(70_000)),
            ),
            (
                "bad timeout",
                format!("GET / HTTP/1.1\r\n{host}Wagtailshunt-Timeout-Ms: soon\r\n\r\n"),
            ),
            (
                "bad attempt",
                format!("GET / HTTP/1.1\r\n{host}Wagtailshunt-Attempt: 0\r\n\r\n"),
            ),
        ];
        for (name, text) in shapes {
            let answer = send_raw(address, text.into_bytes()).await;
            let status = answer.split(' ').nth(1).unwrap_or("closed");
            assert!(
                answer.is_empty() || status.starts_with('4'),
                "{name}: answered {status}: {answer}"
            );
        }
        assert_eq!(
            target.counters().started,
            before,
            "a malformed request reached a target"
        );
        let after = send(&cluster, 0, request(Method::GET, None)).await;
        assert_eq!(after.status(), StatusCode::OK);
    });
}

/// Guards against requests that run although their idempotency key is invalid.
#[test]
fn bad_idempotency_keys_run_nothing() {
    let folder = Folder::new("bad-keys");
    block_on(async {
        let cluster = start_cluster(&folder, 1, 1).await;
        let target = start_target(&cluster, "one", |_| {}).await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        let before = target.counters().started;
        let old = "01800000-0000-7000-8000-000000000000";
        let future = "ffffffff-0000-7000-8000-000000000000";
        for (key, status) in [("", 400), ("x", 400), (old, 409), (future, 400)] {
            let answer = send(&cluster, 0, request(Method::POST, Some(key))).await;
            assert_eq!(answer.status().as_u16(), status, "{key}: {answer:?}");
            assert_ne!(outcome(&answer), "completed");
        }
        assert_eq!(target.counters().started, before);
    });
}

/// Guards against announcements and reads that are accepted without the key of a target or of an
/// operator.
#[test]
fn targets_and_operators_need_their_key() {
    let folder = Folder::new("wrong-keys");
    block_on(async {
        let cluster = start_cluster(&folder, 1, 1).await;
        let admin = cluster.gateways[0]
            .as_ref()
            .expect("gateway")
            .admin_address();
        let control = cluster.controls[0]
            .as_ref()
            .expect("control")
            .admin_address();
        let body = r#"{"service": "bookings", "target": "t", "incarnation": 1,
            "address": "127.0.0.1:9", "failure_domain": "fd0", "slots": 3, "state": "serving"}"#;
        let announce = |key: &str, body: &str| {
            hyper::Request::builder()
                .method(Method::POST)
                .uri("/v1/announce")
                .header("host", "gateway")
                .header("authorization", format!("Bearer {key}"))
                .body(client::body(Bytes::copy_from_slice(body.as_bytes())))
                .expect("request")
        };
        let call = async |address, req| {
            let mut conn = client::Connection::open(address).await.expect("connect");
            conn.call(req).await.expect("answer").status()
        };
        assert_eq!(
            call(admin, announce("wrong", body)).await,
            StatusCode::UNAUTHORIZED
        );
        assert_eq!(
            call(admin, announce(cluster::TARGET_KEY, body)).await,
            StatusCode::OK
        );
        let big = format!("{{\"service\": \"{}\"}}", "a".repeat(10_000));
        for bad in [
            "",
            "{",
            "[]",
            &big,
            &body.replace("127.0.0.1:9", "0.0.0.0:0"),
        ] {
            let status = call(admin, announce(cluster::TARGET_KEY, bad)).await;
            assert_eq!(status, StatusCode::BAD_REQUEST, "{bad}");
        }
        let read = |key: &str| {
            hyper::Request::builder()
                .uri("/v1/records")
                .header("host", "control")
                .header("authorization", format!("Bearer {key}"))
                .body(client::body(Bytes::new()))
                .expect("request")
        };
        assert_eq!(call(control, read("")).await, StatusCode::UNAUTHORIZED);
        assert_eq!(
            call(control, read(cluster::TARGET_KEY)).await,
            StatusCode::UNAUTHORIZED
        );
        assert_eq!(
            call(control, read(cluster::OPERATOR_KEY)).await,
            StatusCode::OK
        );
        let lines = cluster.events();
        assert!(!lines.contains(cluster::OPERATOR_KEY) && !lines.contains(cluster::TARGET_KEY));
    });
}

/// Guards against frames that are accepted without the cluster key, and against corrupt frames that
/// disturb the cluster.
#[test]
fn unauthenticated_and_corrupt_frames_are_refused() {
    let folder = Folder::new("frames");
    block_on(async {
        let cluster = start_cluster(&folder, 1, 1).await;
        let address = cluster.controls[0].as_ref().expect("control").listen();
        let hello = |cluster: &str, key: &str| {
            let hello = envelope::Hello {
                cluster: cluster.to_owned(),
                key: key.to_owned(),
                role: 1,
                failure_domain: "fd0".to_owned(),
                schema: 2,
            };
            let envelope = envelope::Envelope {
                vm: 200,
                incarnation: 1,
                clock: 1,
                request: 0,
                body: Some(envelope::envelope::Body::Hello(hello)),
            };
            let mut buf = BytesMut::new();
            codec::EnvelopeCodec::default()
                .encode(&envelope, &mut buf)
                .expect("encode");
            buf.to_vec()
        };
        let invalid = [
            ("wrong cluster", hello("other", "cluster-key")),
            ("wrong key", hello("wagtailshunt", "wrong")),
            ("no hello", vec![0, 0, 0, 0]),
            (
                "length over the limit",
                vec![0xff, 0xff, 0xff, 0xff, 1, 2, 3],
            ),
            ("not an envelope", [&[0, 0, 0, 4][..], &[0xff; 4]].concat()),
            (
                "truncated frame",
                hello("wagtailshunt", "cluster-key")[..10].to_vec(),
            ),
        ];
        for (name, bytes) in invalid {
            assert_eq!(send_raw(address, bytes).await, "", "{name}: got a reply");
        }
        assert!(
            cluster.all_serving(),
            "corrupt frames disturbed the cluster"
        );
        assert!(cluster.events().contains("wrong key"));
    });
}
