//! Tests of the program against a running system.

use std::{env, fs, net, path, process, sync::mpsc, thread};

use wagtailshunt_lab::cluster;

use crate::stub::{file, run, run_with};

/// A cluster on a separate thread. Dropping the value stops it.
struct System {
    admin: Vec<net::SocketAddr>,
    stop: Option<futures_channel::oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
    data: path::PathBuf,
}

impl System {
    fn start(name: &str) -> System {
        let folder = format!("wagtailshunt-cli-{name}-{}", process::id());
        let data = env::temp_dir().join(folder);
        let cfg = cluster::Config {
            data: data.clone(),
            controls: 3,
            ..cluster::Config::default()
        };
        let (stop, stopped) = futures_channel::oneshot::channel();
        let (tx, rx) = mpsc::channel();
        let thread = thread::spawn(move || {
            let runtime = wagtailshunt::daemon::runtime().expect("runtime");
            runtime.block_on(async move {
                let cluster = cluster::Cluster::start(cfg).await.expect("cluster");
                let controls = cluster.controls.iter().flatten();
                let admin = controls.map(|control| control.admin_address());
                tx.send(admin.collect())
                    .expect("the test waits for the addresses");
                // Returns when the test drops the sender.
                let _ = stopped.await;
            });
        });
        System {
            admin: rx.recv().expect("cluster starts"),
            stop: Some(stop),
            thread: Some(thread),
            data,
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let _ = fs::remove_dir_all(&self.data);
    }
}

/// Guards against a program and control daemons that interpret the operator interface differently.
#[test]
fn records_are_put_read_and_drained() {
    let system = System::start("records");
    let put = |name: &str, text: &str, args: &[&str]| {
        let file = file(name, text);
        // Without the wait, the result does not depend on the speed of the machine.
        let mut all = vec!["put", &file, "--actor", "mere", "--no-wait"];
        all.extend(args);
        run_with(&system.admin, &all)
    };
    let first = r#"{"schema": 1, "kind": "service", "name": "tents", "spec": {"hosts": ["tents.example"], "path_prefix": "/"}}"#;
    let created = put("tents-1.json", first, &[]);
    assert_eq!(created.code, 0, "{created:?}");
    assert!(created.stdout.contains("service/tents"), "{created:?}");
    let again = put("tents-2.json", first, &[]);
    assert_eq!(again.code, 4, "{again:?}");
    let faulty = put(
        "tents-3.json",
        &first.replace("\"/\"", "7"),
        &["--expect", "1"],
    );
    assert_eq!(faulty.code, 1, "{faulty:?}");
    assert!(faulty.stderr.contains("path_prefix"), "{faulty:?}");

    let drained = run_with(
        &system.admin,
        &["drain", "target", "tents", "t-9", "--no-wait"],
    );
    assert_eq!(drained.code, 0, "{drained:?}");
    let text = run_with(&system.admin, &["get", "service/tents"]);
    assert!(text.stdout.contains(r#"["t-9"]"#), "{text:?}");
    let history = run_with(&system.admin, &["history", "service/tents", "--json"]);
    let versions: serde_json::Value = serde_json::from_str(&history.stdout).expect("json");
    assert_eq!(versions.as_array().map(Vec::len), Some(2), "{history:?}");
    assert_eq!(versions[0]["actor"], "mere");

    let drained = run_with(&system.admin, &["drain", "vm", "101", "--no-wait"]);
    assert_eq!(drained.code, 0, "{drained:?}");
    let list = run_with(&system.admin, &["list"]);
    assert!(
        list.stdout.contains("vm/101") && list.stdout.contains("service/tents"),
        "{list:?}"
    );
    assert_eq!(run_with(&system.admin, &["get", "service/none"]).code, 1);

    let status = run_with(&system.admin, &["status", "--json"]);
    let state: serde_json::Value = serde_json::from_str(&status.stdout).expect("json");
    assert_eq!(
        state["gateways"].as_array().map(Vec::len),
        Some(1),
        "{status:?}"
    );
    let timeline = loop {
        let timeline = run_with(&system.admin, &["timeline"]);
        assert_eq!(timeline.code, 0, "{timeline:?}");
        if timeline.stdout.contains("record in force") {
            break timeline;
        }
    };
    let accepted = timeline.stdout.find("record accepted").expect("accepted");
    let in_force = timeline.stdout.find("record in force").expect("in force");
    assert!(accepted < in_force, "{timeline:?}");
}

/// Guards against access with an invalid operator key.
#[test]
fn a_wrong_key_is_refused() {
    let system = System::start("key");
    let key = file("wrong.key", "another-key");
    let admin = system.admin[0].to_string();
    let output = run(&["list", "--control", &admin, "--key-file", &key]);
    assert_eq!(output.code, 1, "{output:?}");
    assert!(output.stderr.contains("401"), "{output:?}");
}
