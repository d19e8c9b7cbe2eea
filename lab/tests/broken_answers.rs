//! Invalid responses of targets, through the gateway daemon and to the load generator.

mod support;

use std::{
    io::{Read, Write},
    net, thread,
};

use hyper::{Method, Request};
use support::{
    Folder, block_on, outcome, put_record, request, send, start_cluster, start_target, try_send,
    wait_for_answer,
};
use wagtailshunt_lab::{cluster, load::client};

/// Sends calls whose target answers with the responses of one kind. Checks that no caller gets a whole
/// response, and that a call with a key runs once and has an unknown outcome.
fn check_no_answer(kind: &str) {
    let kinds = include_str!("../../platform/tests/responses.json");
    let kinds: serde_json::Value = serde_json::from_str(kinds).expect("JSON");
    let folder = Folder::new(&format!("invalid-{kind}"));
    block_on(async {
        let cluster = start_cluster(&folder, 1, 1).await;
        let target = start_target(&cluster, "one", |cfg| cfg.returns_call_id = false);
        let target = target.await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        for text in kinds[kind].as_array().expect("a list") {
            let text = text.as_str().expect("a text").replace("$FIELDS", "");
            let replacement = text.clone().leak().as_bytes();
            target.faults(|faults| faults.replacement = replacement);
            let response = try_send(&cluster, 0, request(Method::GET, None)).await;
            let is_failure = match &response {
                Ok(response) => response.status() == 502,
                // The body of a call without a key is forwarded as it arrives, until it breaks off.
                Err(_) => kind == "chunks",
            };
            assert!(is_failure, "{text:?}: {response:?}");
            let key = cluster::request_id();
            let response = send(&cluster, 0, request(Method::POST, Some(&key))).await;
            assert_eq!(response.status(), 502, "{text:?}: {response:?}");
            assert_eq!(outcome(&response), "unknown", "{text:?}: {response:?}");
            assert_eq!(target.ledger().runs(&key).started, 1, "{text:?}");
            target.faults(|faults| faults.replacement = &[]);
            wait_for_answer(&cluster, 0).await;
        }
    });
}

/// Guards against a status that is none and reaches a caller, or is stored for a key.
#[test]
fn response_with_an_invalid_status_is_no_answer() {
    check_no_answer("status");
}

/// Guards against a line that is no field and is passed on, or stored for a key.
#[test]
fn response_with_a_line_that_is_no_field_is_no_answer() {
    check_no_answer("line");
}

/// Guards against a transfer coding that is not decoded, and a body that is passed on, or stored for a
/// key, as if it were the target's.
#[test]
fn response_with_invalid_framing_is_no_answer() {
    for kind in ["framing", "chunks", "codings"] {
        check_no_answer(kind);
    }
}

/// Guards against a body that ends with the connection and is taken for complete.
#[test]
fn response_without_a_stated_end_is_no_answer() {
    check_no_answer("valid_until_close");
}

/// Guards against a status 000 that the load generator counts as an answer.
#[test]
fn status_000_is_no_answer_for_the_load_generator() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 4096];
        assert!(stream.read(&mut buf).expect("a request") > 0);
        let text = b"HTTP/1.1 000 OK\r\ncontent-length: 3\r\n\r\nabc";
        stream.write_all(text).expect("sends");
        // The end of the connection must not be what fails the call.
        let _ = stream.read(&mut buf);
    });
    block_on(async {
        let mut connection = client::Connection::open(address).await.expect("connects");
        let req = Request::get("/x").header("host", "a.example");
        let response = connection.call(req.body(client::body("".into())).expect("valid"));
        let response = response.await;
        assert!(response.is_err(), "{response:?}");
    });
    server.join().expect("the server ends");
}
