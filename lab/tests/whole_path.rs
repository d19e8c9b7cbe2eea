//! End-to-end tests over real sockets: announcement, record, call, call with an idempotency key,
//! drain.

mod support;

use std::time;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use support::{
    Folder, block_on, outcome, put_record, request, send, start_cluster, start_target, try_send,
    wait_for_answer, wait_for_targets,
};
use wagtailshunt_lab::{cluster, load::client, target};

/// Guards against a failure anywhere between announcement, record, claim and response, and against
/// a second run of a call with the same idempotency key.
#[test]
fn a_booking_sent_twice_runs_once() {
    let folder = Folder::new("booking");
    block_on(async {
        let cluster = start_cluster(&folder, 3, 2).await;
        let first = start_target(&cluster, "one", |_| {}).await;
        let second = start_target(&cluster, "two", |_| {}).await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        wait_for_answer(&cluster, 1).await;

        let refused = send(&cluster, 0, request(Method::POST, None)).await;
        assert_eq!(refused.status(), StatusCode::BAD_REQUEST);
        assert_eq!(outcome(&refused), "not-run");

        let key = cluster::request_id();
        let one = send(&cluster, 0, request(Method::POST, Some(&key))).await;
        assert_eq!(one.status(), StatusCode::OK, "{one:?}");
        let two = send(&cluster, 1, request(Method::POST, Some(&key))).await;
        assert_eq!(two.status(), StatusCode::OK, "{two:?}");
        assert_eq!(outcome(&two), "completed");
        assert_eq!(one.body(), two.body());
        let mut ledger = first.ledger();
        ledger.merge(&second.ledger());
        assert_eq!(ledger.runs(&key).started, 1);
    });
}

/// Guards against a planned stop of a gateway that aborts calls in flight.
#[test]
fn a_draining_gateway_finishes_its_calls() {
    let folder = Folder::new("drain");
    block_on(async {
        let cluster = start_cluster(&folder, 1, 1).await;
        let target = start_target(&cluster, "slow", |config| config.slots = 10).await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        let slow = time::Duration::from_millis(400);
        target.faults(|faults| faults.added_service_time = slow);
        let calls = futures_util::future::join_all(
            (0..5).map(|_| send(&cluster, 0, request(Method::GET, None))),
        );
        let gateway = cluster.gateways[0].clone().expect("gateway runs");
        let stop = async {
            // The stop begins only when the calls are in flight.
            while target.counters().started < 6 {
                compio::time::sleep(time::Duration::from_millis(5)).await;
            }
            gateway.stop().await
        };
        let (responses, drained) = futures_util::future::join(calls, stop).await;
        assert!(drained, "the gateway aborted calls in flight");
        for response in responses {
            assert_eq!(response.status(), StatusCode::OK);
        }
        let late = try_send(&cluster, 0, request(Method::GET, None)).await;
        assert!(late.is_err(), "a stopped gateway accepted a call");
    });
}

/// Guards against a call that a gateway accepts late in a planned stop, runs, and cuts off at the
/// end.
#[test]
fn a_call_that_may_outlast_a_planned_stop_is_refused() {
    let folder = Folder::new("late-drain");
    block_on(async {
        let cfg = cluster::Config {
            data: folder.0.clone(),
            readiness_lead: time::Duration::from_millis(300),
            drain_limit: time::Duration::from_secs(1),
            ..cluster::Config::default()
        };
        let cluster = cluster::Cluster::start(cfg).await.expect("cluster starts");
        let target = start_target(&cluster, "slow", |_| {}).await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        target.faults(|faults| faults.added_service_time = time::Duration::from_millis(1500));
        let gateway = cluster.gateways[0].clone().expect("gateway runs");
        let started = target.counters().started;
        let late_call = async {
            compio::time::sleep(time::Duration::from_millis(200)).await;
            // A connection that is just open may still bring its first request after the lead time.
            let mut conn = client::Connection::open(gateway.listen()).await.unwrap();
            compio::time::sleep(time::Duration::from_millis(250)).await;
            let body = client::body(Bytes::new());
            conn.call(request(Method::GET, None).body(body).unwrap())
                .await
        };
        let (response, drained) = futures_util::future::join(late_call, gateway.stop()).await;
        assert!(drained, "the call was in flight at the end");
        let response = response.expect("response");
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(outcome(&response), "not-run");
        assert_eq!(target.counters().started, started);
    });
}

/// Guards against calls to a target that has announced its drain.
#[test]
fn a_draining_target_gets_no_new_call() {
    let folder = Folder::new("target-drain");
    block_on(async {
        let cluster = start_cluster(&folder, 1, 2).await;
        let draining = start_target(&cluster, "leaving", |_| {}).await;
        let serving = start_target(&cluster, "staying", |_| {}).await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        wait_for_answer(&cluster, 1).await;
        draining.drain().await;
        // The announcement has been accepted; both gateways receive it with the next update.
        compio::time::sleep(time::Duration::from_millis(500)).await;
        let before = draining.counters().started;
        for gateway in [0, 1] {
            for _ in 0..20 {
                let response = send(&cluster, gateway, request(Method::GET, None)).await;
                assert_eq!(response.status(), StatusCode::OK);
            }
        }
        assert_eq!(draining.counters().started, before);
        assert!(serving.counters().started >= 40);
    });
}

/// Guards against a request that crashes one target after the other.
#[test]
fn a_crashing_request_is_blocked_after_two_targets() {
    let folder = Folder::new("crash");
    block_on(async {
        let cluster = start_cluster(&folder, 1, 2).await;
        let mut targets: Vec<target::Handle> = Vec::new();
        for id in ["one", "two", "three", "four", "five"] {
            let target = start_target(&cluster, id, |_| {}).await;
            target.faults(|faults| faults.crash_on_header = true);
            targets.push(target);
        }
        put_record(&cluster).await;
        wait_for_targets(&cluster, 0, &targets).await;
        wait_for_targets(&cluster, 1, &targets).await;
        let crashing = || {
            request(Method::GET, None)
                .uri("/poison")
                .header("lab-crash", "1")
        };
        let mut refused = 0;
        for attempt in 0..12 {
            let response = send(&cluster, attempt % 2, crashing()).await;
            assert_ne!(response.status(), StatusCode::OK);
            refused += u32::from(outcome(&response) == "not-run");
            // The gateways attribute a loss to its request within this time; a user who sends the
            // request again takes seconds.
            compio::time::sleep(time::Duration::from_millis(100)).await;
        }
        let crashes: u64 = targets.iter().map(|target| target.counters().crashes).sum();
        assert!(crashes <= 2, "{crashes} targets were lost");
        assert!(refused > 0, "the request was never blocked");
        let other = send(&cluster, 0, request(Method::GET, None)).await;
        assert_eq!(
            other.status(),
            StatusCode::OK,
            "an unrelated request was refused"
        );
    });
}

/// Guards against calls that hang on connections without responses.
#[test]
fn frozen_connections_are_replaced_before_the_deadline() {
    let folder = Folder::new("frozen");
    block_on(async {
        let cluster = start_cluster(&folder, 1, 1).await;
        let target = start_target(&cluster, "one", |config| config.slots = 20).await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        for _ in 0..30 {
            send(&cluster, 0, request(Method::GET, None)).await;
        }
        target.freeze_connections();
        let response = send(&cluster, 0, request(Method::GET, None)).await;
        assert_eq!(
            response.status(),
            StatusCode::OK,
            "a lookup hung on a frozen connection"
        );
        target.freeze_connections();
        compio::time::sleep(time::Duration::from_millis(700)).await;
        let key = cluster::request_id();
        let response = send(&cluster, 0, request(Method::POST, Some(&key))).await;
        assert_eq!(
            response.status(),
            StatusCode::OK,
            "a booking went to a frozen connection"
        );
        assert_eq!(target.ledger().runs(&key).started, 1);
    });
}

/// Guards against truncated responses that reach a caller as complete, and against trailing bytes.
#[test]
fn truncated_responses_and_trailing_bytes_are_not_forwarded_as_complete() {
    let folder = Folder::new("broken-answers");
    block_on(async {
        let cluster = start_cluster(&folder, 1, 1).await;
        let target = start_target(&cluster, "one", |config| config.padding_bytes = 2000).await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        let whole = send(&cluster, 0, request(Method::GET, None)).await;
        target.faults(|faults| faults.trailing_bytes = b"HTTP/1.1 200 OK\r\n\r\n".to_vec());
        for _ in 0..10 {
            let response = send(&cluster, 0, request(Method::GET, None)).await;
            assert_eq!(response.status(), StatusCode::OK);
            assert_eq!(response.body().len(), whole.body().len());
        }
        target.faults(|faults| {
            faults.trailing_bytes.clear();
            faults.truncate = true;
        });
        for _ in 0..5 {
            if let Ok(response) = try_send(&cluster, 0, request(Method::GET, None)).await {
                assert_ne!(
                    response.status(),
                    StatusCode::OK,
                    "a truncated response was forwarded"
                );
            }
        }
    });
}
