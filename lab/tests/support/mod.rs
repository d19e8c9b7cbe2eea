//! Helpers for tests that run a cluster and its targets over real sockets.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{env, fs, path, time};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use wagtailshunt_lab::{cluster, load::client, target};

/// Configuration record of the service under test.
pub const RECORD: &str = r#"{"schema": 1, "kind": "service", "name": "bookings", "spec": {
    "hosts": ["bookings.example"], "path_prefix": "/", "timeout_ms": 4000,
    "key_required_methods": ["POST"]}}"#;

/// Maximum wait for a condition. A test fails if the condition does not hold by then.
pub const LIMIT: time::Duration = time::Duration::from_secs(20);

/// A temporary folder that is removed when the value is dropped.
pub struct Folder(pub path::PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = env::temp_dir().join(format!("wagtailshunt-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    wagtailshunt::daemon::runtime()
        .expect("runtime")
        .block_on(future)
}

pub async fn start_cluster(folder: &Folder, controls: u32, gateways: u32) -> cluster::Cluster {
    let cfg = cluster::Config {
        data: folder.0.clone(),
        controls,
        gateways,
        ..cluster::Config::default()
    };
    cluster::Cluster::start(cfg).await.expect("cluster starts")
}

pub async fn put_record(cluster: &cluster::Cluster) {
    let put = cluster.operator().put("service/bookings", 0, RECORD).await;
    let (status, reply) = put.expect("record is answered");
    assert_eq!(status, StatusCode::OK, "{reply}");
    assert_eq!(reply["in_force"], true, "{reply}");
}

pub async fn start_target(
    cluster: &cluster::Cluster,
    id: &str,
    change: impl FnOnce(&mut target::Config),
) -> target::Handle {
    let mut config = target::Config {
        service: "bookings".into(),
        id: id.into(),
        failure_domain: "fd0".into(),
        announce: Some(cluster.announce_config()),
        ..target::Config::default()
    };
    change(&mut config);
    target::start(config).await.expect("target starts")
}

pub fn request(method: Method, key: Option<&str>) -> hyper::http::request::Builder {
    let req = Request::builder()
        .method(method)
        .uri("/stalls/7")
        .header("host", "bookings.example");
    match key {
        Some(key) => req.header("idempotency-key", key),
        None => req,
    }
}

pub async fn try_send(
    cluster: &cluster::Cluster,
    gateway: usize,
    req: hyper::http::request::Builder,
) -> Result<Response<Bytes>, client::Error> {
    let gateway = cluster.gateways[gateway].as_ref().expect("gateway runs");
    let mut conn = client::Connection::open(gateway.listen()).await?;
    conn.call(req.body(client::body(Bytes::new())).expect("request"))
        .await
}

pub async fn send(
    cluster: &cluster::Cluster,
    gateway: usize,
    req: hyper::http::request::Builder,
) -> Response<Bytes> {
    try_send(cluster, gateway, req).await.expect("answer")
}

pub fn outcome(answer: &Response<Bytes>) -> &str {
    let value = answer.headers().get("wagtailshunt-outcome");
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Waits until a gateway answers a request with 200. Announcements reach the gateways only after
/// they are accepted.
pub async fn wait_for_answer(cluster: &cluster::Cluster, gateway: usize) {
    let limit = time::Instant::now() + LIMIT;
    while send(cluster, gateway, request(Method::GET, None))
        .await
        .status()
        != StatusCode::OK
    {
        assert!(
            time::Instant::now() < limit,
            "no answer through the gateway"
        );
        compio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

/// Waits until every target has received a call through a gateway.
pub async fn wait_for_targets(
    cluster: &cluster::Cluster,
    gateway: usize,
    targets: &[target::Handle],
) {
    let limit = time::Instant::now() + LIMIT;
    while targets.iter().any(|target| target.counters().started == 0) {
        assert!(time::Instant::now() < limit, "a target got no call");
        let calls = (0..8).map(|_| send(cluster, gateway, request(Method::GET, None)));
        futures_util::future::join_all(calls).await;
    }
}
