//! Refusals that a target sends a second time on a connection that carries the next call, through
//! the gateway daemon.

mod support;

use bytes::Bytes;
use hyper::{Method, Response};
use support::{
    Folder, block_on, outcome, put_record, request, send, start_cluster, start_target,
    wait_for_answer,
};
use wagtailshunt_lab::{cluster, target};

/// Returns whether the caller is told that its call did not run, by the gateway or by the target.
fn says_not_run(response: &Response<Bytes>) -> bool {
    outcome(response) == "not-run" || response.headers().contains_key("wagtailshunt-not-run")
}

/// Refuses a call in all its attempts, then sends another one; checks that the second one runs at
/// most once, and not at all if the caller is told so. Returns the counters of the target.
fn send_calls_after_refusals(name: &str, returns_call_id: bool) -> target::Counters {
    let folder = Folder::new(name);
    block_on(async {
        let cluster = start_cluster(&folder, 1, 1).await;
        let target = start_target(&cluster, "one", |cfg| cfg.returns_call_id = returns_call_id);
        let target = target.await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        target.faults(|faults| faults.repeat_refusals = true);
        for _ in 0..10 {
            target.faults(|faults| faults.refusals = usize::MAX);
            let refused = cluster::request_id();
            let response = send(&cluster, 0, request(Method::POST, Some(&refused))).await;
            assert!(says_not_run(&response), "{response:?}");
            assert_eq!(target.ledger().runs(&refused).started, 0);
            target.faults(|faults| faults.refusals = 0);
            let key = cluster::request_id();
            let response = send(&cluster, 0, request(Method::POST, Some(&key))).await;
            let runs = target.ledger().runs(&key).started;
            assert!(runs <= 1, "ran {runs} times: {response:?}");
            assert!(!says_not_run(&response) || runs == 0, "ran: {response:?}");
        }
        target.counters()
    })
}

/// Guards against a late second copy of a refusal that counts as the response to the next call,
/// which then runs twice.
#[test]
fn late_copy_of_a_refusal_with_a_call_id_refuses_no_other_call() {
    let counters = send_calls_after_refusals("late-refusal-id", true);
    assert!(counters.late_copies > 0, "no late copy met a call");
}

/// Guards against the same for targets that return no call ids: their responses can be told apart
/// only by their connection.
#[test]
fn late_copy_of_a_refusal_without_a_call_id_refuses_no_other_call() {
    let counters = send_calls_after_refusals("late-refusal-no-id", false);
    assert!(counters.shed > 0);
}
