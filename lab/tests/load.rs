//! Tests of the load generator against fake targets.

use std::time::Duration;

use wagtailshunt_lab::{load, target};

fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(test)
}

fn short_config(modes: Vec<load::Mode>) -> load::Config {
    load::Config {
        modes,
        duration: Duration::from_millis(100),
        warm_up: Duration::ZERO,
        repetitions: 2,
        // Long enough that no check depends on the speed of the machine.
        timeout: Duration::from_secs(600),
        ..Default::default()
    }
}

fn route(name: &str, target: &target::Handle) -> load::Route {
    load::Route {
        name: name.to_owned(),
        addresses: vec![target.address()],
    }
}

/// Guards against calls that are lost, or counted differently from the target.
#[test]
fn every_call_is_counted_once() {
    run(async {
        let config = target::Config {
            queue_limit: 1000,
            ..Default::default()
        };
        let target = target::start(config).await.expect("target starts");
        let arrivals = load::Arrivals::Poisson;
        let modes = vec![
            load::Mode::Open {
                rate_per_s: 500.0,
                arrivals,
            },
            load::Mode::Closed { callers: 4 },
        ];
        let request = load::RequestSpec {
            keyed: true,
            ..Default::default()
        };
        let config = load::Config {
            request,
            ..short_config(modes)
        };
        let routes = [route("direct", &target), route("again", &target)];
        let report = load::run(&config, &routes, "test").await;
        assert_eq!(report.rows.len(), 4);
        assert_eq!(report.ratios.len(), 2);
        let ok: u64 = report.rows.iter().map(|row| row.ok).sum();
        assert!(ok > 0);
        assert_eq!(ok, target.counters().finished);
        let ledger = target.ledger();
        assert_eq!(ledger.iter().count() as u64, ok, "keys repeat");
        assert!(
            ledger
                .iter()
                .all(|(key, _)| key.len() == 36 && key.as_bytes()[14] == b'7')
        );
        let json: serde_json::Value = serde_json::from_str(&report.to_json()).expect("json");
        assert_eq!(json["revision"], "test");
        assert_eq!(json["settings"]["seed"], 1);
    });
}

/// Guards against coordinated omission: the wait behind a stalled call must count as latency.
#[test]
fn the_open_loop_counts_from_the_scheduled_time() {
    run(async {
        let stall = Duration::from_millis(50);
        let config = target::Config {
            slots: 1,
            queue_limit: 1000,
            service_time: target::ServiceTime::Fixed(stall),
            ..Default::default()
        };
        let target = target::start(config).await.expect("target starts");
        let arrivals = load::Arrivals::Uniform;
        let mode = load::Mode::Open {
            rate_per_s: 100.0,
            arrivals,
        };
        let config = load::Config {
            connections: 1,
            ..short_config(vec![mode])
        };
        let sample = load::measure(&config, mode, 1, &[target.address()]).await;
        // Ten calls in 100 ms, each of 50 ms, one after another: the last ends after 500 ms at
        // the earliest and was scheduled at about 90 ms.
        assert_eq!(sample.ok, 10);
        assert!(
            sample.latency.max() >= 400_000_000,
            "{}",
            sample.latency.max()
        );
    });
}

/// Guards against error statuses and truncated responses that count as successes.
#[test]
fn failures_are_counted_by_kind() {
    run(async {
        let target = target::start(target::Config::default())
            .await
            .expect("target starts");
        let arrivals = load::Arrivals::Uniform;
        let mode = load::Mode::Open {
            rate_per_s: 100.0,
            arrivals,
        };
        let config = short_config(vec![mode]);
        target.faults(|faults| faults.fail_fast = true);
        let sample = load::measure(&config, mode, 1, &[target.address()]).await;
        assert_eq!((sample.error_status, sample.ok), (10, 0));
        target.faults(|faults| faults.truncate = true);
        let sample = load::measure(&config, mode, 1, &[target.address()]).await;
        assert_eq!(
            (sample.incomplete, sample.ok + sample.error_status),
            (10, 0)
        );
    });
}
