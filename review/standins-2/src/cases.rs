//! The cases.

use std::{
    collections, net,
    sync::{Arc, atomic},
    thread, time,
};

use crate::{
    Verdict,
    callers::{self, Load, Outcomes},
    http,
    record::Record,
    target::{Target, Trouble},
    vm::Fleet,
    wire,
};

/// Time after which a case ends whatever it has seen.
const RUN_TIME: time::Duration = time::Duration::from_secs(100);

/// Time until the VMs must be ready and serve.
const START_TIME: time::Duration = time::Duration::from_secs(15);

/// Ends of processes on one VM that the rule doesn't permit.
const ENDS: usize = 3;

/// VMs on which they break the rule: half of a core of three.
const VMS: usize = 2;

/// Lookups and bookings a second to each VM.
const USUAL_LOAD: [f64; 2] = [12.0, 4.0];
const MORE_BOOKINGS: [f64; 2] = [12.0, 20.0];

/// Time in which the last requests have their answers.
const LAST_ANSWERS: time::Duration = time::Duration::from_millis(2600);

/// Servers of the service, and those of them that are in trouble: one in each zone.
const SERVERS: usize = 21;
const IN_TROUBLE: usize = 3;

const ZONES: [&str; 3] = ["oslo-a", "oslo-b", "oslo-c"];

/// The running stand-ins of a case.
struct Scene {
    fleet: Fleet,
    targets: Vec<Arc<Target>>,
    outcomes: Arc<Outcomes>,
    stopped: Arc<atomic::AtomicBool>,
}

impl Scene {
    /// Starts VMs and servers, the first of which are in trouble, and the callers once all VMs serve.
    fn start(
        record: &Arc<Record>,
        trouble: Trouble,
        load: [f64; 2],
    ) -> Result<Scene, &'static str> {
        let scene = Scene::without_callers(record, trouble)?;
        scene.wait_until_ready(record, true)?;
        scene.call(record, load);
        Ok(scene)
    }

    /// Starts VMs and servers.
    fn without_callers(record: &Arc<Record>, trouble: Trouble) -> Result<Scene, &'static str> {
        let fleet = Fleet::start(record);
        let vms: Vec<_> = fleet.vms.iter().map(|vm| vm.operators()).collect();
        let is_configured = fleet.configure(record);
        let targets = (0..SERVERS).map(|i| {
            let trouble = if i < IN_TROUBLE {
                trouble
            } else {
                Trouble::None
            };
            Target::start(fleet.host, i, ZONES[i % 3], trouble, vms.clone(), record)
        });
        let scene = Scene {
            targets: targets.collect(),
            fleet,
            outcomes: Arc::default(),
            stopped: Arc::default(),
        };
        if !is_configured {
            scene.stop();
            return Err("the configuration was not acknowledged");
        }
        Ok(scene)
    }

    /// Waits until all VMs are ready and, if wanted, serve a request.
    fn wait_until_ready(&self, record: &Record, serving: bool) -> Result<(), &'static str> {
        let give_up = time::Instant::now() + START_TIME;
        let is_up = |vm: &Arc<crate::vm::Vm>| vm.is_ready() && (!serving || serves(vm.callers()));
        while !self.fleet.vms.iter().all(is_up) {
            if time::Instant::now() > give_up {
                self.stop();
                return Err("not all VMs were ready and served in time");
            }
            thread::sleep(time::Duration::from_millis(100));
        }
        record.line("all VMs are ready");
        Ok(())
    }

    /// Starts the callers of all VMs.
    fn call(&self, record: &Arc<Record>, [lookups, bookings]: [f64; 2]) {
        for vm in &self.fleet.vms {
            for (method, path, deadline_ms, per_second) in [
                ("GET", "/lookup/x", 1500, lookups),
                ("POST", "/booking/x", 2000, bookings),
            ] {
                let load = Load {
                    vm: vm.number,
                    to: vm.callers(),
                    method,
                    path,
                    deadline_ms,
                    per_second,
                };
                callers::start(load, &self.outcomes, record, &self.stopped);
            }
        }
    }

    /// Returns whether processes have ended as often as the rule doesn't permit.
    fn has_ended_too_often(&self) -> bool {
        let ends = |vm: &crate::vm::Vm| vm.ends.load(atomic::Ordering::SeqCst);
        self.fleet.vms.iter().filter(|vm| ends(vm) >= ENDS).count() >= VMS
    }

    /// Waits until the rule is broken or the time is over, and notes the memory each second.
    fn watch(&self, record: &Record) -> Verdict {
        let mut noted = time::Instant::now();
        while record.elapsed() < RUN_TIME {
            thread::sleep(time::Duration::from_millis(50));
            if self.has_ended_too_often() {
                return Verdict::Broken;
            }
            if noted.elapsed() >= time::Duration::from_secs(1) {
                noted = time::Instant::now();
                let peaks = self.fleet.vms.iter().map(|vm| vm.peak_mb().to_string());
                let peaks: Vec<String> = peaks.collect();
                record.line(format!(
                    "peak memory of the VMs in MB: {}",
                    peaks.join(", ")
                ));
            }
        }
        Verdict::Held
    }

    /// Starts the callers; the rule is broken if no request is served.
    fn count_served(&self, record: &Arc<Record>) -> Verdict {
        thread::sleep(WRITER_LEAD);
        record.line("the callers begin");
        self.call(record, USUAL_LOAD);
        thread::sleep(CALL_TIME);
        let served = |target: &Arc<Target>| target.served.load(atomic::Ordering::SeqCst);
        let total: usize = self.targets.iter().map(served).sum();
        let beats = |target: &Arc<Target>| target.acknowledged.load(atomic::Ordering::SeqCst);
        let acknowledged: usize = self.targets.iter().map(beats).sum();
        record.line(format!(
            "{total} requests were served; {acknowledged} announcements of the servers were \
             acknowledged"
        ));
        match total {
            0 => Verdict::Broken,
            _ => Verdict::Held,
        }
    }

    /// Ends everything that was started, and notes the totals.
    fn finish(self, record: &Record, verdict: Verdict) -> Verdict {
        self.stopped.store(true, atomic::Ordering::SeqCst);
        thread::sleep(LAST_ANSWERS);
        self.stop();
        for target in &self.targets {
            record.line(format!(
                "server {}: {} served, {} refused",
                target.id,
                target.served.load(atomic::Ordering::SeqCst),
                target.refused.load(atomic::Ordering::SeqCst),
            ));
        }
        for vm in &self.fleet.vms {
            let ends = vm.ends.load(atomic::Ordering::SeqCst);
            record.line(format!("VM {}: {ends} ends of its process", vm.number));
        }
        let counts = self.outcomes.counts.lock().expect("counts");
        record.line(format!("callers: {counts:?}"));
        drop(counts);
        verdict
    }

    fn stop(&self) {
        self.stopped.store(true, atomic::Ordering::SeqCst);
        self.fleet.stop();
        for target in &self.targets {
            target.end();
        }
    }
}

/// Returns whether a VM serves a request.
fn serves(to: net::SocketAddr) -> bool {
    let headers = [
        ("Host", "a.example"),
        (wire::name("request_id"), "first"),
        (wire::name("time_left"), "1500"),
    ];
    let timeout = time::Duration::from_secs(2);
    http::call(to, timeout, "GET", "/lookup/x", &headers, &[])
        .is_ok_and(|answer| answer.status() == 200)
}

/// One server in seven refuses a part of what it gets, and the bodies of its refusals come without end.
pub fn endless_refusal(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let trouble = match has_trouble {
        true => Trouble::RefusesWithoutEnd,
        false => Trouble::Refuses,
    };
    let scene = match Scene::start(record, trouble, USUAL_LOAD) {
        Ok(scene) => scene,
        Err(reason) => return Verdict::NotRun(reason),
    };
    let verdict = scene.watch(record);
    scene.finish(record, verdict)
}

/// Bytes of the list in the announcement of another writer; the listener takes up to 8 MiB.
const LONG_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Another writer announces itself as a server does, with a long list of lists where an object is
/// expected.
pub fn long_announcement(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let scene = match Scene::start(record, Trouble::None, USUAL_LOAD) {
        Ok(scene) => scene,
        Err(reason) => return Verdict::NotRun(reason),
    };
    let bytes = if has_trouble { LONG_LIST_BYTES } else { 200 };
    let list = format!("[{}[0]]", "[0],".repeat(bytes / 4));
    let vms: Vec<_> = scene.fleet.vms.iter().map(|vm| vm.operators()).collect();
    let (stopped, writer_record) = (scene.stopped.clone(), record.clone());
    thread::spawn(move || {
        let mut sequence = 0;
        while !stopped.load(atomic::Ordering::SeqCst) {
            sequence += 1;
            announce_long(&vms, sequence, &list, &writer_record);
            thread::sleep(time::Duration::from_millis(1500));
        }
    });
    let verdict = scene.watch(record);
    scene.finish(record, verdict)
}

/// Calls one VM after the other until one acknowledges, as servers do.
fn announce_long(vms: &[net::SocketAddr], sequence: usize, list: &str, record: &Record) {
    let body = wire::beat_of_another_writer(&[
        ("address", "127.0.0.1:9"),
        ("born", "1"),
        ("sequence", &sequence.to_string()),
        ("list", list),
    ]);
    let path = format!("{}other", wire::name("heartbeat"));
    let first = sequence % vms.len();
    for vm in vms[first..].iter().chain(&vms[..first]) {
        let headers = [("Content-Type", "application/json")];
        let timeout = time::Duration::from_secs(2);
        let sent = http::call(*vm, timeout, "POST", &path, &headers, body.as_bytes());
        let outcome = match sent {
            Ok(answer) => answer.status().to_string(),
            Err(err) => format!("no answer ({:?})", err.kind()),
        };
        let bytes = body.len();
        record.line(format!(
            "other writer: announcement of {bytes} bytes to {vm}: {outcome}"
        ));
        if outcome.starts_with('2') {
            return;
        }
    }
}

/// Time after which a server that has said that it leaves must get no request any more.
const DRAIN: time::Duration = time::Duration::from_secs(2);

/// Time from the moment at which a server says that it leaves until it ends.
const LEAVE_TIME: time::Duration = time::Duration::from_secs(6);

/// A server leaves. It says so in its answers, but its announcements reach no VM.
pub fn leaving(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let scene = match Scene::start(record, Trouble::None, MORE_BOOKINGS) {
        Ok(scene) => scene,
        Err(reason) => return Verdict::NotRun(reason),
    };
    thread::sleep(time::Duration::from_secs(6));
    let server = scene.targets[0].clone();
    let vms: Vec<_> = scene.fleet.vms.iter().map(|vm| vm.operators()).collect();
    server.cut_off.store(has_trouble, atomic::Ordering::SeqCst);
    server.leaving.store(true, atomic::Ordering::SeqCst);
    let since = time::Instant::now();
    record.line(format!("server {} leaves; its answers say so", server.id));
    match has_trouble {
        true => record.line("its announcement that it leaves is lost"),
        false => {
            let confirmed = server.beat(&vms, "draining");
            record.line(format!("its announcement that it leaves: {confirmed:?}"));
        }
    }
    thread::sleep(LEAVE_TIME.saturating_sub(since.elapsed()));
    server.end();
    record.line(format!("server {} ends", server.id));
    thread::sleep(time::Duration::from_secs(3));
    let late = late_arrivals(&scene, &server, record);
    let verdict = match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    };
    scene.finish(record, verdict)
}

/// Counts the requests that reached a leaving server although their caller sent them to a VM later
/// than [`DRAIN`] after that VM had passed on an answer which says that the server leaves.
fn late_arrivals(scene: &Scene, server: &Target, record: &Record) -> usize {
    let answers = scene.outcomes.answers.lock().expect("answers");
    let mut told: collections::BTreeMap<usize, time::Instant> = collections::BTreeMap::new();
    for answer in answers.iter().filter(|answer| answer.leaving) {
        let first = told.entry(answer.vm).or_insert(answer.answered);
        *first = answer.answered.min(*first);
    }
    let arrived: collections::BTreeSet<String> = {
        let arrivals = server.arrivals.lock().expect("arrivals");
        arrivals.iter().cloned().collect()
    };
    let mut late = 0;
    for answer in answers
        .iter()
        .filter(|answer| arrived.contains(&answer.request))
    {
        let Some(told) = told.get(&answer.vm) else {
            continue;
        };
        let after = answer.sent.saturating_duration_since(*told);
        if after > DRAIN {
            late += 1;
            record.line(format!(
                "{} reached {} although it was sent {} ms after VM {} had passed on that the \
                 server leaves; its caller got {}",
                answer.request,
                server.id,
                after.as_millis(),
                answer.vm,
                answer.outcome,
            ));
        }
    }
    record.line(format!(
        "{late} requests reached the leaving server too late"
    ));
    late
}

/// Time from the first announcement of the other writer until the callers begin, and from then to the
/// end.
const WRITER_LEAD: time::Duration = time::Duration::from_secs(5);
const CALL_TIME: time::Duration = time::Duration::from_secs(30);

/// Another writer announces a service that the configuration doesn't have, at the addresses of the
/// servers; without the disruption at addresses of its own.
pub fn other_service(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let scene = match Scene::without_callers(record, Trouble::None) {
        Ok(scene) => scene,
        Err(reason) => return Verdict::NotRun(reason),
    };
    if let Err(reason) = scene.wait_until_ready(record, false) {
        return Verdict::NotRun(reason);
    }
    thread::sleep(time::Duration::from_secs(3));
    let vms: Vec<_> = scene.fleet.vms.iter().map(|vm| vm.operators()).collect();
    let born = crate::vm::now_ms();
    for target in &scene.targets {
        let mut address = target.address;
        if !has_trouble {
            address.set_port(address.port() + 1);
        }
        let id = format!("other-{}", target.id);
        let zone = target.zone;
        let (vms, record, stopped) = (vms.clone(), record.clone(), scene.stopped.clone());
        thread::spawn(move || {
            let mut sequence = 0;
            while !stopped.load(atomic::Ordering::SeqCst) {
                sequence += 1;
                let vm = vms[sequence % vms.len()];
                let outcome = announce_other_service(vm, &id, address, zone, born, sequence);
                record.line(format!(
                    "other writer: {id} at {address} to {vm}: {outcome}"
                ));
                thread::sleep(time::Duration::from_millis(1500));
            }
        });
    }
    let verdict = scene.count_served(record);
    scene.finish(record, verdict)
}

fn announce_other_service(
    vm: net::SocketAddr,
    id: &str,
    address: net::SocketAddr,
    zone: &str,
    born: u128,
    sequence: usize,
) -> String {
    let body = wire::beat_of_another_service(&[
        ("address", &address.to_string()),
        ("born", &born.to_string()),
        ("zone", zone),
        ("sequence", &sequence.to_string()),
    ]);
    let path = format!("{}{id}", wire::name("heartbeat"));
    let headers = [("Content-Type", "application/json")];
    let timeout = time::Duration::from_secs(1);
    match http::call(vm, timeout, "POST", &path, &headers, body.as_bytes()) {
        Ok(answer) => answer.status().to_string(),
        Err(err) => format!("no answer ({:?})", err.kind()),
    }
}

/// Another writer sends one announcement for each server, with the state that it leaves and without the
/// other fields.
pub fn incomplete_leave(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let scene = match Scene::without_callers(record, Trouble::None) {
        Ok(scene) => scene,
        Err(reason) => return Verdict::NotRun(reason),
    };
    if let Err(reason) = scene.wait_until_ready(record, false) {
        return Verdict::NotRun(reason);
    }
    thread::sleep(time::Duration::from_secs(3));
    let born = crate::vm::now_ms().to_string();
    for (i, target) in scene.targets.iter().enumerate().filter(|_| has_trouble) {
        let vm = scene.fleet.vms[i % scene.fleet.vms.len()].operators();
        let body = wire::beat_without_fields(&[("born", &born)]);
        let path = format!("{}{}", wire::name("heartbeat"), target.id);
        let headers = [("Content-Type", "application/json")];
        let timeout = time::Duration::from_secs(1);
        let outcome = match http::call(vm, timeout, "POST", &path, &headers, body.as_bytes()) {
            Ok(answer) => answer.status().to_string(),
            Err(err) => format!("no answer ({:?})", err.kind()),
        };
        record.line(format!(
            "other writer: {body} for {} to {vm}: {outcome}",
            target.id
        ));
    }
    let verdict = scene.count_served(record);
    scene.finish(record, verdict)
}
