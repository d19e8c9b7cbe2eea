//! Tests of the fake target over real sockets.

use std::{cell, net, rc};

use bytes::Bytes;
use compio::net::TcpListener;
use futures_util::{FutureExt, future};
use hyper::{Request, Response};
use wagtailshunt::http;
use wagtailshunt_core::balance;
use wagtailshunt_lab::load::client;
use wagtailshunt_lab::target;

fn request(headers: &[(&str, &str)]) -> Request<http_body_util::Full<Bytes>> {
    let mut request = Request::builder()
        .method("POST")
        .uri("/book?seat=3")
        .header("host", "test");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request
        .body(client::body(Bytes::from_static(b"body")))
        .expect("request")
}

async fn call(
    target: &target::Handle,
    headers: &[(&str, &str)],
) -> Result<Response<Bytes>, client::Error> {
    let mut connection = client::Connection::open(target.address()).await?;
    connection.call(request(headers)).await
}

fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(test)
}

async fn start_target(config: target::Config) -> target::Handle {
    target::start(config).await.expect("target starts")
}

/// Guards against responses that a test cannot match to a request, and against unrecorded runs.
#[test]
fn a_response_describes_its_request_and_the_ledger_records_the_run() {
    run(async {
        let target = start_target(target::Config::default()).await;
        let response = call(&target, &[("idempotency-key", "k1")])
            .await
            .expect("answer");
        let body: serde_json::Value = serde_json::from_slice(response.body()).expect("json");
        assert_eq!(body["path"], "/book?seat=3");
        assert_eq!(body["key"], "k1");
        assert_eq!(body["body_bytes"], 4);
        let load = response.headers()["wagtailshunt-load"]
            .to_str()
            .expect("text");
        balance::LoadReport::parse(load).expect("load report");
        let runs = target.ledger().runs("k1");
        assert_eq!((runs.started, runs.finished, runs.cancelled), (1, 1, 0));
        assert_eq!(target.ledger().runs("k2"), target::Runs::default());
    });
}

/// Guards against a shed call that runs, or that lacks the not-run marker.
#[test]
fn a_full_target_sheds_with_the_marker() {
    run(async {
        let config = target::Config {
            slots: 0,
            queue_limit: 0,
            ..Default::default()
        };
        let target = start_target(config).await;
        let response = call(&target, &[("idempotency-key", "k1")])
            .await
            .expect("answer");
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers()["wagtailshunt-not-run"], "1");
        assert_eq!(target.ledger().runs("k1").started, 0);
        assert_eq!(target.counters().shed, 1);
    });
}

/// Guards against slots that are lost or taken twice when calls are queued.
#[test]
fn queued_calls_all_run() {
    run(async {
        let config = target::Config {
            slots: 2,
            queue_limit: 20,
            ..Default::default()
        };
        let target = start_target(config).await;
        let responses = future::join_all((0..20).map(|_| call(&target, &[]))).await;
        assert!(
            responses
                .iter()
                .all(|response| response.as_ref().is_ok_and(|a| a.status() == 200))
        );
        assert_eq!(target.counters().finished, 20);
    });
}

/// Guards against a response after a crash, and against a ledger that loses the interrupted run.
#[test]
fn a_marked_request_crashes_the_target_until_it_restarts() {
    run(async {
        let mut target = start_target(target::Config::default()).await;
        target.faults(|faults| faults.crash_on_header = true);
        let marked = [(target::CRASH_HEADER, "1"), ("idempotency-key", "k1")];
        call(&target, &marked).await.expect_err("crash");
        assert!(!target.is_running());
        target.restart().await.expect("restart");
        target.faults(|faults| faults.crash_on_header = false);
        let response = call(&target, &[("idempotency-key", "k1")])
            .await
            .expect("answer");
        let body: serde_json::Value = serde_json::from_slice(response.body()).expect("json");
        assert_eq!(body["incarnation"], 2);
        let runs = target.ledger().runs("k1");
        assert_eq!((runs.started, runs.finished, runs.cancelled), (2, 1, 1));
    });
}

/// Guards against a freeze that closes the connection or affects new ones.
#[test]
fn a_frozen_connection_stays_silent_while_a_new_one_works() {
    run(async {
        let target = start_target(target::Config::default()).await;
        let mut old = client::Connection::open(target.address())
            .await
            .expect("connects");
        old.call(request(&[])).await.expect("answer");
        target.freeze_connections();
        let mut silent = old.call(request(&[])).boxed_local();
        while target.counters().frozen == 0 {
            assert!(future::poll_immediate(&mut silent).await.is_none());
            call(&target, &[]).await.expect("new connections work");
        }
        call(&target, &[]).await.expect("new connections work");
        assert!(
            future::poll_immediate(&mut silent).await.is_none(),
            "answered or closed"
        );
    });
}

/// Guards against faults without effect, with which tests of the gateway would check nothing.
#[test]
fn response_faults_are_visible_to_the_caller() {
    run(async {
        let target = start_target(target::Config::default()).await;
        target.faults(|faults| faults.truncate = true);
        call(&target, &[]).await.expect_err("truncated");

        target.faults(|faults| {
            *faults = target::Faults {
                trailing_bytes: b"HTTP/1.1 200 OK\r\n".to_vec(),
                ..Default::default()
            };
        });
        let mut connection = client::Connection::open(target.address())
            .await
            .expect("connects");
        connection
            .call(request(&[]))
            .await
            .expect("the answer itself is complete");
        connection
            .call(request(&[]))
            .await
            .expect_err("surplus bytes end the connection");

        let false_report = balance::LoadReport {
            in_flight: 77,
            ..Default::default()
        };
        target.faults(|faults| {
            *faults = target::Faults {
                fail_fast: true,
                report: Some(false_report),
                ..Default::default()
            };
        });
        let response = call(&target, &[]).await.expect("answer");
        assert_eq!(response.status(), 500);
        assert_eq!(
            response.headers()["wagtailshunt-load"],
            "in_flight=77;queue=0;latency_us=0"
        );
    });
}

/// Guards against announcements that gateways cannot parse, and a drain without an announcement.
#[test]
fn a_target_announces_itself_and_its_drain() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let gateway: net::SocketAddr = listener.local_addr().expect("address");
        let bodies = rc::Rc::new(cell::RefCell::new(Vec::<serde_json::Value>::new()));
        let received = bodies.clone();
        let handler = move |request: Request<hyper::body::Incoming>, _peer| {
            let received = received.clone();
            async move {
                assert_eq!(request.uri().path(), "/v1/announce");
                assert_eq!(request.headers()["authorization"], "Bearer target-key");
                let body = http_body_util::BodyExt::collect(request.into_body()).await;
                let body = body.expect("body").to_bytes();
                received
                    .borrow_mut()
                    .push(serde_json::from_slice(&body).expect("json"));
                Response::new(http::empty())
            }
        };
        let shutdown = http::Shutdown::default();
        let server = http::serve(listener, http::Limits::default(), shutdown, handler);
        compio::runtime::spawn(server).detach();

        let announce = target::AnnounceConfig {
            gateways: vec![gateway],
            key: "target-key".to_owned(),
            timeout: std::time::Duration::from_secs(30),
            ..Default::default()
        };
        let config = target::Config {
            announce: Some(announce),
            ..Default::default()
        };
        let target = start_target(config).await;
        target.drain().await;
        let bodies = bodies.borrow();
        let last = bodies.last().expect("announced");
        assert_eq!(last["state"], "draining");
        assert_eq!(last["target"], "target");
        assert_eq!(last["incarnation"], 1);
        assert_eq!(last["address"], target.address().to_string());
        assert_eq!(last["load"]["in_flight"], 0);
    });
}
