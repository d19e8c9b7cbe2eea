//! The whole path over real sockets: announcement, record, call, keyed call, drain.

use std::{env, fs, path, time};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use wagtailshunt_lab::{cluster, load::client, target};

const RECORD: &str = r#"{"schema": 1, "kind": "service", "name": "bookings", "spec": {
    "hosts": ["bookings.example"], "path_prefix": "/", "timeout_ms": 3000,
    "key_required_methods": ["POST"]}}"#;

/// A folder that is removed at the end of a test.
struct Folder(path::PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
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

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = wagtailshunt::daemon::runtime().expect("runtime");
    runtime.block_on(future)
}

async fn call(
    cluster: &cluster::Cluster,
    gateway: usize,
    method: Method,
    key: Option<&str>,
) -> Response<Bytes> {
    let gateway = cluster.gateways[gateway].as_ref().expect("gateway runs");
    let mut conn = client::Connection::open(gateway.listen())
        .await
        .expect("gateway listens");
    let mut req = Request::builder()
        .method(method)
        .uri("/stalls/7")
        .header("host", "bookings.example");
    if let Some(key) = key {
        req = req.header("idempotency-key", key);
    }
    let req = req
        .body(client::body(Bytes::from_static(b"")))
        .expect("request");
    conn.call(req).await.expect("answer")
}

async fn start_target(cluster: &cluster::Cluster, id: &str) -> target::Handle {
    let config = target::Config {
        service: "bookings".into(),
        id: id.into(),
        failure_domain: "fd0".into(),
        announce: Some(cluster.announce()),
        ..target::Config::default()
    };
    target::start(config).await.expect("target starts")
}

/// Waits until lookups are answered, since announcements spread after they are accepted.
async fn wait_for_answer(cluster: &cluster::Cluster, gateway: usize) {
    let limit = time::Instant::now() + time::Duration::from_secs(10);
    while call(cluster, gateway, Method::GET, None).await.status() != StatusCode::OK {
        assert!(
            time::Instant::now() < limit,
            "no answer through the gateway"
        );
        compio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

/// Guards against a break anywhere between announcement, record, claim and answer.
#[test]
fn a_booking_sent_twice_runs_once() {
    let folder = Folder::new("booking");
    block_on(async {
        let cfg = cluster::Config {
            data: folder.0.clone(),
            controls: 3,
            gateways: 2,
            ..cluster::Config::default()
        };
        let cluster = cluster::Cluster::start(cfg).await.expect("cluster");
        let first = start_target(&cluster, "one").await;
        let second = start_target(&cluster, "two").await;
        let (status, reply) = cluster
            .operator()
            .put("service/bookings", 0, RECORD)
            .await
            .expect("put");
        assert_eq!(status, StatusCode::OK, "{reply}");
        assert_eq!(reply["in_force"], true, "{reply}");
        wait_for_answer(&cluster, 0).await;
        wait_for_answer(&cluster, 1).await;

        let refused = call(&cluster, 0, Method::POST, None).await;
        assert_eq!(refused.status(), StatusCode::BAD_REQUEST);
        assert_eq!(refused.headers()["wagtailshunt-outcome"], "not-run");

        let key = cluster::request_id();
        let one = call(&cluster, 0, Method::POST, Some(&key)).await;
        assert_eq!(one.status(), StatusCode::OK, "{one:?}");
        let two = call(&cluster, 1, Method::POST, Some(&key)).await;
        assert_eq!(two.status(), StatusCode::OK, "{two:?}");
        assert_eq!(two.headers()["wagtailshunt-outcome"], "completed");
        assert_eq!(one.body(), two.body());
        let mut ledger = first.ledger();
        ledger.merge(&second.ledger());
        assert_eq!(ledger.runs(&key).started, 1);
    });
}
