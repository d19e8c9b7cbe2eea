//! Connection pool, completeness of responses, and silent connections.

use std::time::Duration;

use wagtailshunt_core::{connection, time};

const START: time::Instant = time::Instant(1_000_000);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn head(length: u64) -> connection::Head {
    connection::Head {
        echoed_call: None,
        length: connection::BodyLength::Known(length),
        keep_alive: true,
    }
}

fn open(pool: &mut connection::Pool<u32>, now: time::Instant, conn: u32) -> connection::Busy<u32> {
    match pool.open(false) {
        connection::CheckOut::Open(connecting) => connecting.opened(now, conn, 1),
        other => panic!("no capacity for a connection: {other:?}"),
    }
}

fn complete_response(busy: &mut connection::Busy<u32>) {
    let exchange = busy.exchange_mut();
    exchange.request_started();
    exchange.request_complete();
    exchange.head(&head(3)).unwrap();
    exchange.data(3).unwrap();
    exchange.end().unwrap();
}

/// Guards against a stalled target that takes connections without bound, and against capacity
/// leaked by cancelled calls.
#[test]
fn connection_limit_holds_and_cancelled_calls_release_capacity() {
    let cfg = connection::PoolConfig {
        max_connections: 2,
        ..Default::default()
    };
    let mut pool = connection::Pool::new(cfg);
    let first = open(&mut pool, START, 1);
    let _second = open(&mut pool, START, 2);
    let full = pool.check_out(START, connection::Purpose::Idempotent, 3, |_| true);
    assert!(matches!(full, connection::CheckOut::Full));
    drop(first);
    assert_eq!(pool.connections(), 1);
    open(&mut pool, START, 3);
}

/// Guards against sending a call that must not be sent twice on a connection that may be silent.
#[test]
fn non_idempotent_call_needs_a_recently_used_connection() {
    let mut pool = connection::Pool::new(connection::PoolConfig::default());
    let mut busy = open(&mut pool, START, 7);
    complete_response(&mut busy);
    assert!(matches!(
        pool.check_in(START, busy),
        connection::CheckIn::Pooled
    ));
    let late = START + ms(501);
    let out = pool.check_out(late, connection::Purpose::NotIdempotent, 2, |_| true);
    assert!(matches!(out, connection::CheckOut::Open(_)));
    let out = pool.check_out(late, connection::Purpose::Idempotent, 3, |_| true);
    let connection::CheckOut::Busy(mut busy) = out else {
        panic!("the idle connection was not reused");
    };
    complete_response(&mut busy);
    pool.check_in(late, busy);
    let soon = late + ms(500);
    let out = pool.check_out(soon, connection::Purpose::NotIdempotent, 4, |_| true);
    assert!(matches!(out, connection::CheckOut::Busy(_)));
}

/// Guards against reuse of a connection after unexpected, truncated or mismatched data, and against
/// passing such a response on as complete.
#[test]
fn faulty_responses_close_the_connection() {
    type Step = fn(&mut connection::Exchange) -> Result<(), connection::Fault>;
    let cases: [(&str, Step, connection::Fault); 6] = [
        (
            "body too long",
            |e| e.data(4),
            connection::Fault::UnexpectedData,
        ),
        (
            "truncated body",
            |e| e.data(2).and_then(|()| e.end()),
            connection::Fault::Truncated,
        ),
        (
            "closed in the body",
            |e| e.data(2).and_then(|()| e.connection_closed()),
            connection::Fault::Truncated,
        ),
        (
            "second head",
            |e| e.head(&head(1)),
            connection::Fault::UnexpectedData,
        ),
        (
            "bytes after the end",
            |e| e.data(3).and_then(|()| e.end()).and_then(|()| e.data(1)),
            connection::Fault::UnexpectedData,
        ),
        (
            "late bytes",
            |e| Err(e.unexpected_data()),
            connection::Fault::UnexpectedData,
        ),
    ];
    for (name, step, fault) in cases {
        let mut pool = connection::Pool::new(connection::PoolConfig::default());
        let mut busy = open(&mut pool, START, 1);
        busy.exchange_mut().request_started();
        busy.exchange_mut().request_complete();
        busy.exchange_mut().head(&head(3)).unwrap();
        assert_eq!(step(busy.exchange_mut()), Err(fault), "{name}");
        assert!(!busy.exchange().is_complete(), "{name}");
        let kept = pool.check_in(START, busy);
        assert!(matches!(kept, connection::CheckIn::Destroyed(_)), "{name}");
        assert_eq!(pool.connections(), 0, "{name}");
    }
}

/// Guards against passing the response of another call to a caller.
#[test]
fn response_of_another_call_is_rejected() {
    let mut exchange = connection::Exchange::new(5);
    assert_eq!(
        exchange.head(&head(0)),
        Err(connection::Fault::UnexpectedData)
    );
    let mut exchange = connection::Exchange::new(5);
    exchange.request_started();
    let other = connection::Head {
        echoed_call: Some(4),
        ..head(0)
    };
    assert_eq!(exchange.head(&other), Err(connection::Fault::WrongCall));
}

/// Guards against pooling a connection whose response was complete before the request was fully
/// written.
#[test]
fn early_response_is_complete_but_not_reusable() {
    let mut exchange = connection::Exchange::new(1);
    exchange.request_started();
    exchange.head(&head(0)).unwrap();
    exchange.end().unwrap();
    assert!(exchange.is_complete());
    assert!(!exchange.is_reusable());
}

/// Guards against further use of idle connections whose state a middlebox lost together with that
/// of a silent one.
#[test]
fn silence_closes_idle_connections_not_used_since() {
    let mut pool = connection::Pool::new(connection::PoolConfig::default());
    let mut stale = open(&mut pool, START, 1);
    let mut proved = open(&mut pool, START, 2);
    complete_response(&mut stale);
    complete_response(&mut proved);
    pool.check_in(START, stale);
    pool.check_in(START + ms(20), proved);
    pool.close_unconfirmed_since(START + ms(10));
    assert_eq!(pool.poll_closed().map(|closed| closed.conn), Some(1));
    assert_eq!(pool.idle(), 1);
}

/// Guards against keeping connections beyond the keep-alive timeout of the target, or to a target
/// that is deregistering.
#[test]
fn idle_connections_expire_and_drain() {
    let mut pool = connection::Pool::new(connection::PoolConfig::default());
    let mut busy = open(&mut pool, START, 1);
    complete_response(&mut busy);
    pool.check_in(START, busy);
    assert_eq!(pool.next_deadline(), Some(START + Duration::from_secs(4)));
    pool.expire(START + Duration::from_secs(4));
    assert_eq!(pool.idle(), 0);
    let mut busy = open(&mut pool, START, 2);
    complete_response(&mut busy);
    pool.drain();
    assert!(matches!(
        pool.check_in(START, busy),
        connection::CheckIn::Destroyed(_)
    ));
}

/// Guards against sending a call twice although it must not be, and against waiting for a silent
/// connection until the deadline although the call may be sent again.
#[test]
fn only_idempotent_calls_are_sent_on_a_new_connection() {
    let mut latency = connection::LatencyTracker::new(connection::LatencyConfig::default());
    for _ in 0..100 {
        latency.record_latency(START, ms(20));
    }
    let timeout = latency.silence_timeout();
    assert!(timeout >= ms(60) && timeout <= ms(75), "{timeout:?}");
    let call = connection::CallProgress {
        idempotent: true,
        last_progress: START,
        deadline: START + ms(1000),
        response_started: false,
        reconnects: 0,
    };
    let silent_at = START + timeout;
    let before = connection::check_silence(START + ms(59), &call, &latency);
    assert_eq!(before, connection::Decision::Wait(silent_at));
    assert_eq!(
        connection::check_silence(silent_at, &call, &latency),
        connection::Decision::Reconnect
    );
    let hold = connection::Decision::WaitForDeadline(call.deadline);
    for held in [
        connection::CallProgress {
            idempotent: false,
            ..call
        },
        connection::CallProgress {
            response_started: true,
            ..call
        },
        connection::CallProgress {
            reconnects: connection::MAX_RECONNECTS,
            ..call
        },
    ] {
        assert_eq!(connection::check_silence(silent_at, &held, &latency), hold);
    }
    let ended = connection::check_silence(call.deadline, &call, &latency);
    assert_eq!(ended, connection::Decision::Unknown);
    let started = connection::CallProgress {
        response_started: true,
        ..call
    };
    let ended = connection::check_silence(call.deadline, &started, &latency);
    assert_eq!(ended, connection::Decision::Abort);
}

/// Guards against a second attempt that starts too late to complete before the deadline.
#[test]
fn half_of_the_remaining_time_is_left_for_the_second_attempt() {
    let latency = connection::LatencyTracker::new(connection::LatencyConfig::default());
    let silent_at = latency.silent_at(START, START + ms(200));
    assert_eq!(silent_at, START + ms(100));
}

/// Guards against an estimate that keeps old latencies after those of the target have changed.
#[test]
fn latency_estimate_follows_the_target() {
    let mut latency = connection::LatencyTracker::new(connection::LatencyConfig::default());
    assert_eq!(latency.quantile(990), None);
    for _ in 0..2_000 {
        latency.record_latency(START, ms(4));
    }
    for _ in 0..2_000 {
        latency.record_latency(START, ms(40));
    }
    let median = latency.quantile(500).unwrap();
    assert!(median >= ms(40) && median <= ms(50), "{median:?}");
}
