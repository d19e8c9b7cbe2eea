//! Crashes and stops of control VMs, over real sockets and files.

mod support;

use std::{collections, time};

use hyper::{Method, StatusCode};
use support::{
    Folder, LIMIT, block_on, outcome, put_record, request, send, start_cluster, start_target,
    wait_for_answer,
};
use wagtailshunt_lab::cluster;

fn record(number: usize, timeout_ms: u32) -> String {
    format!(
        r#"{{"schema": 1, "kind": "service", "name": "s{number}", "spec": {{
            "hosts": ["s{number}.example"], "path_prefix": "/", "timeout_ms": {timeout_ms}}}}}"#
    )
}

/// Returns the revision and text of each record, by key.
async fn records(cluster: &cluster::Cluster) -> collections::BTreeMap<String, (u64, String)> {
    let (status, list) = cluster.operator().get("/v1/records").await.expect("list");
    assert_eq!(status, StatusCode::OK, "{list}");
    let list = list.as_array().expect("array").iter().map(|record| {
        let text = |name: &str| record[name].as_str().expect("text").to_owned();
        let revision = record["revision"].as_u64().expect("revision");
        (text("key"), (revision, text("text")))
    });
    list.collect()
}

/// Guards against accepted records that are lost or altered when all control VMs crash after 150
/// changes.
#[test]
fn records_survive_a_crash_of_all_control_vms() {
    let folder = Folder::new("restart");
    block_on(async {
        let mut cluster = start_cluster(&folder, 3, 1).await;
        let operator = cluster.operator();
        let mut accepted = collections::BTreeMap::new();
        for number in 0..150 {
            let path = format!("/v1/records/service/s{number}?expect=0&wait=false");
            let text = record(number, 1000);
            let id = cluster::request_id();
            let put = operator.send(Method::PUT, &path, &id, &text).await;
            let (status, reply) = put.expect("put");
            assert!(status.is_success(), "{reply}");
            let revision = reply["reply"]["accepted"]["revision"]
                .as_u64()
                .expect("revision");
            accepted.insert(format!("service/s{number}"), (revision, text));
        }
        for index in 0..3 {
            cluster.kill_control(index);
        }
        for index in 0..3 {
            cluster
                .restart_control(index)
                .await
                .expect("control VM starts again");
        }
        cluster
            .wait("a leader", |cluster| cluster.leader().is_some())
            .await
            .expect("leader");
        assert_eq!(records(&cluster).await, accepted);
        cluster
            .wait("a lease", cluster::Cluster::all_serving)
            .await
            .expect("lease");
        let revision = accepted["service/s7"].0;
        let changed = operator.put("service/s7", revision, &record(7, 2000)).await;
        assert_eq!(changed.expect("put").0, StatusCode::OK);
    });
}

/// Guards against a resent change that is applied twice or gets another result when the leader
/// crashes in between.
#[test]
fn a_resent_change_returns_its_first_result_after_a_change_of_leader() {
    let folder = Folder::new("resent");
    block_on(async {
        let mut cluster = start_cluster(&folder, 3, 1).await;
        let operator = cluster.operator();
        let id = cluster::request_id();
        let path = "/v1/records/service/s1?expect=0&wait=false";
        let text = record(1, 1000);
        let (_, first) = operator
            .send(Method::PUT, path, &id, &text)
            .await
            .expect("put");
        let leader = cluster.leader().expect("leader");
        cluster.kill_control(leader);
        cluster
            .wait("a leader", |cluster| cluster.leader().is_some())
            .await
            .expect("leader");
        let (_, second) = operator
            .send(Method::PUT, path, &id, &text)
            .await
            .expect("resend");
        assert_eq!(second["reply"]["repeated"], first["reply"], "{second}");
        let (status, _) = operator
            .send(Method::PUT, path, &cluster::request_id(), &text)
            .await
            .expect("another request");
        assert_eq!(status, StatusCode::CONFLICT);
        assert_eq!(records(&cluster).await.len(), 1);
    });
}

/// Guards against a gateway that serves without a lease while the control VMs have no quorum, and
/// against one that does not serve again once they have.
#[test]
fn a_gateway_stops_without_a_control_quorum_and_serves_again_with_one() {
    let folder = Folder::new("quorum");
    block_on(async {
        let mut cluster = start_cluster(&folder, 3, 1).await;
        let _target = start_target(&cluster, "one", |_| {}).await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        cluster.kill_control(0);
        cluster.kill_control(1);
        let limit = time::Instant::now() + LIMIT;
        loop {
            let answer = send(&cluster, 0, request(Method::GET, None)).await;
            if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
                assert_eq!(outcome(&answer), "not-run");
                break;
            }
            assert!(
                time::Instant::now() < limit,
                "the gateway serves without a lease"
            );
            compio::time::sleep(time::Duration::from_millis(20)).await;
        }
        let key = cluster::request_id();
        let booking = send(&cluster, 0, request(Method::POST, Some(&key))).await;
        assert_eq!(booking.status(), StatusCode::SERVICE_UNAVAILABLE);
        cluster
            .restart_control(0)
            .await
            .expect("control VM starts again");
        wait_for_answer(&cluster, 0).await;
    });
}

/// Guards against a keyed request that runs twice, or whose response is lost, when the leader of
/// the ledger crashes between two sends.
#[test]
fn a_keyed_request_runs_once_despite_a_crash_of_the_ledger_leader() {
    let folder = Folder::new("ledger-leader");
    block_on(async {
        let mut cluster = start_cluster(&folder, 3, 2).await;
        let target = start_target(&cluster, "one", |_| {}).await;
        put_record(&cluster).await;
        wait_for_answer(&cluster, 0).await;
        wait_for_answer(&cluster, 1).await;
        let keys: Vec<String> = (0..20).map(|_| cluster::request_id()).collect();
        for key in &keys {
            let first = send(&cluster, 0, request(Method::POST, Some(key))).await;
            assert_eq!(first.status(), StatusCode::OK, "{first:?}");
        }
        let leader = cluster.leader().expect("leader");
        cluster.kill_control(leader);
        for key in &keys {
            let again = send(&cluster, 1, request(Method::POST, Some(key))).await;
            assert_eq!(again.status(), StatusCode::OK, "{again:?}");
            assert_eq!(outcome(&again), "completed");
            assert_eq!(target.ledger().runs(key).started, 1);
        }
    });
}

/// Guards against a record that a VM cannot enforce but that is accepted because the VM was not
/// registered with its schemas.
#[test]
fn every_connected_vm_is_registered_with_its_schemas() {
    let folder = Folder::new("registered");
    block_on(async {
        let cluster = start_cluster(&folder, 3, 1).await;
        let limit = time::Instant::now() + LIMIT;
        loop {
            let (_, status) = cluster.operator().get("/v1/status").await.expect("status");
            let vms = status["vms"].as_array().expect("vms").clone();
            let ids: Vec<u64> = vms.iter().filter_map(|vm| vm["vm"].as_u64()).collect();
            if ids == [1, 2, 3, 101] {
                assert!(
                    vms.iter()
                        .all(|vm| vm["schemas"] == serde_json::json!([1, 2]))
                );
                break;
            }
            assert!(
                time::Instant::now() < limit,
                "registered VMs are {ids:?}, expected 1, 2, 3 and 101"
            );
            compio::time::sleep(time::Duration::from_millis(20)).await;
        }
    });
}

/// Guards against control VMs that never terminate because they stop at the same time and transfer
/// leadership to each other.
#[test]
fn control_vms_that_stop_together_terminate() {
    let folder = Folder::new("stop-together");
    block_on(async {
        let mut cluster = start_cluster(&folder, 3, 1).await;
        cluster.kill_control(0);
        cluster
            .wait("a leader", |cluster| cluster.leader().is_some())
            .await
            .expect("leader");
        let stops = cluster
            .controls
            .iter()
            .flatten()
            .map(wagtailshunt::control::Control::stop);
        let done = futures_util::future::join_all(stops).await;
        assert_eq!(done, [true, true]);
    });
}
