//! Pool, completeness of answers, and silent connections.

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
        other => panic!("no place for a connection: {other:?}"),
    }
}

fn answer(busy: &mut connection::Busy<u32>) {
    let exchange = busy.exchange_mut();
    exchange.request_started();
    exchange.request_complete();
    exchange.head(&head(3)).unwrap();
    exchange.data(3).unwrap();
    exchange.end().unwrap();
}

/// Guards against a stalled target that takes connections without bound, and against places lost
/// by cancelled calls.
#[test]
fn bound_holds_and_cancelled_calls_free_their_place() {
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

/// Guards against sending a call that must not repeat on a connection that may be silent.
#[test]
fn non_idempotent_call_needs_recent_proof_of_life() {
    let mut pool = connection::Pool::new(connection::PoolConfig::default());
    let mut busy = open(&mut pool, START, 7);
    answer(&mut busy);
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
    answer(&mut busy);
    pool.check_in(late, busy);
    let soon = late + ms(500);
    let out = pool.check_out(soon, connection::Purpose::NotIdempotent, 4, |_| true);
    assert!(matches!(out, connection::CheckOut::Busy(_)));
}

/// Guards against reuse of a connection with surplus, truncated or crossed bytes, and against
/// passing such an answer on as complete.
#[test]
fn faulty_answers_destroy_the_connection() {
    type Step = fn(&mut connection::Exchange) -> Result<(), connection::Fault>;
    let cases: [(&str, Step, connection::Fault); 6] = [
        ("surplus body", |e| e.data(4), connection::Fault::Surplus),
        (
            "truncated body",
            |e| e.data(2).and_then(|()| e.end()),
            connection::Fault::Truncated,
        ),
        (
            "closed in the body",
            |e| e.data(2).and_then(|()| e.closed()),
            connection::Fault::Truncated,
        ),
        (
            "second head",
            |e| e.head(&head(1)),
            connection::Fault::Surplus,
        ),
        (
            "bytes after the end",
            |e| e.data(3).and_then(|()| e.end()).and_then(|()| e.data(1)),
            connection::Fault::Surplus,
        ),
        (
            "late bytes",
            |e| Err(e.surplus()),
            connection::Fault::Surplus,
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

/// Guards against giving a caller the answer of another call.
#[test]
fn answer_of_another_call_is_recognised() {
    let mut exchange = connection::Exchange::new(5);
    assert_eq!(exchange.head(&head(0)), Err(connection::Fault::Surplus));
    let mut exchange = connection::Exchange::new(5);
    exchange.request_started();
    let other = connection::Head {
        echoed_call: Some(4),
        ..head(0)
    };
    assert_eq!(exchange.head(&other), Err(connection::Fault::Crossed));
}

/// Guards against pooling a connection whose request was answered before it was fully written.
#[test]
fn early_answer_is_complete_but_not_reusable() {
    let mut exchange = connection::Exchange::new(1);
    exchange.request_started();
    exchange.head(&head(0)).unwrap();
    exchange.end().unwrap();
    assert!(exchange.is_complete());
    assert!(!exchange.is_reusable());
}

/// Guards against further use of connections whose state a middlebox lost together with that of a
/// silent one.
#[test]
fn silence_closes_idle_connections_without_later_proof() {
    let mut pool = connection::Pool::new(connection::PoolConfig::default());
    let mut stale = open(&mut pool, START, 1);
    let mut proved = open(&mut pool, START, 2);
    answer(&mut stale);
    answer(&mut proved);
    pool.check_in(START, stale);
    pool.check_in(START + ms(20), proved);
    pool.silent(START + ms(10));
    assert_eq!(pool.poll_closed().map(|closed| closed.conn), Some(1));
    assert_eq!(pool.idle(), 1);
}

/// Guards against keeping connections past the keep-alive of the target, or of a leaving target.
#[test]
fn idle_connections_expire_and_drain() {
    let mut pool = connection::Pool::new(connection::PoolConfig::default());
    let mut busy = open(&mut pool, START, 1);
    answer(&mut busy);
    pool.check_in(START, busy);
    assert_eq!(pool.next_deadline(), Some(START + Duration::from_secs(4)));
    pool.expire(START + Duration::from_secs(4));
    assert_eq!(pool.idle(), 0);
    let mut busy = open(&mut pool, START, 2);
    answer(&mut busy);
    pool.drain();
    assert!(matches!(
        pool.check_in(START, busy),
        connection::CheckIn::Destroyed(_)
    ));
}

/// Guards against a call that is sent twice although it must not be, and against one that waits for
/// a silent connection until its deadline although it may move.
#[test]
fn only_idempotent_calls_move() {
    let mut health = connection::Health::new(connection::HealthConfig::default());
    for _ in 0..100 {
        health.answered(START, ms(20));
    }
    let bound = health.bound();
    assert!(bound >= ms(60) && bound <= ms(75), "{bound:?}");
    let call = connection::CallView {
        idempotent: true,
        last_byte: START,
        deadline: START + ms(1000),
        answer_started: false,
        moves: 0,
    };
    let suspect = START + bound;
    let before = connection::decide(START + ms(59), &call, &health);
    assert_eq!(before, connection::Decision::Wait(suspect));
    assert_eq!(
        connection::decide(suspect, &call, &health),
        connection::Decision::Move
    );
    let hold = connection::Decision::Hold(call.deadline);
    for held in [
        connection::CallView {
            idempotent: false,
            ..call
        },
        connection::CallView {
            answer_started: true,
            ..call
        },
        connection::CallView {
            moves: connection::MAX_MOVES,
            ..call
        },
    ] {
        assert_eq!(connection::decide(suspect, &held, &health), hold);
    }
    let ended = connection::decide(call.deadline, &call, &health);
    assert_eq!(ended, connection::Decision::Unknown);
    let started = connection::CallView {
        answer_started: true,
        ..call
    };
    let ended = connection::decide(call.deadline, &started, &health);
    assert_eq!(ended, connection::Decision::Abort);
}

/// Guards against a move that comes too late to be answered before the caller's deadline.
#[test]
fn half_of_the_remaining_time_is_left_for_the_move() {
    let health = connection::Health::new(connection::HealthConfig::default());
    let suspect = health.suspect_at(START, START + ms(200));
    assert_eq!(suspect, START + ms(100));
}

/// Guards against an estimate that stays at old latencies after a target has changed.
#[test]
fn latency_estimate_follows_the_target() {
    let mut health = connection::Health::new(connection::HealthConfig::default());
    assert_eq!(health.quantile(990), None);
    for _ in 0..2_000 {
        health.answered(START, ms(4));
    }
    for _ in 0..2_000 {
        health.answered(START, ms(40));
    }
    let median = health.quantile(500).unwrap();
    assert!(median >= ms(40) && median <= ms(50), "{median:?}");
}
