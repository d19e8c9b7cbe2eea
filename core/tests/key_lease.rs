//! Tests of leases on keys in virtual time: two leaders, one after the other, and a VM that accepts a
//! key. Each scenario runs as it is, and again with a mechanism switched off, which must break it.
//!
//! That a round is confirmed only by a leader with a quorum is tested in `replication.rs`.

use std::time::Duration;

use wagtailshunt_core::key_lease::{
    Answer, Change, Holder, Pace, Reply, Request, Rounds, Terms, UNKNOWN_KEY_CONFIRMATION, Watch,
};
use wagtailshunt_core::time::BootInstant;
use wagtailshunt_core::types::{LogIndex, VmId};

const REVOCATION_MS: u64 = 5000;
const STEP_MS: u64 = 10;
const VM: VmId = VmId(9);
/// Index of the removal of the key.
const REVOKED: LogIndex = LogIndex(2);

/// A mechanism that a run leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Off {
    Nothing,
    Expiry,      // Leases do not end.
    Margin,      // Leases last as long as a revoked key may be accepted.
    BootClock,   // The clock stops during a suspension.
    RequestTime, // A lease begins with the reply.
    Numbers,     // Processes use the same numbers.
    Restart,     // A restarted VM relies on its stored configuration.
    Quorum,      // A leader replies without a quorum.
    Index,       // A reply grants a lease before the VM has applied its index.
    Renewal,     // A VM does not renew its lease before it ends.
}

struct World {
    off: Off,
    now_ms: u64,
    rounds: [Rounds; 2],           // Requests at each leader.
    leader_applied: [LogIndex; 2], // Index that each leader has applied.
    quorum: usize,                 // The leader that has a quorum.
    link: Option<usize>,           // The leader to which the VM is connected.
    holder: Holder,
    requests: Vec<Request>,
    replies: Vec<(u64, Reply)>, // With the time of the arrival.
    reply_delay_ms: u64,
    is_frozen: bool,
    suspended_ms: u64,
    clock_rate: u64, // Of the VM, in thousandths.
    gets_commands: bool,
    applied: LogIndex,
    revoked_at_ms: Option<u64>,
    is_held: bool,
    violations: usize, // Steps in which the VM accepted the key too late.
    gaps: usize,       // Steps in which it had no lease.
}

fn holder(off: Off, process: u64) -> Holder {
    let revocation = Duration::from_millis(REVOCATION_MS);
    let validity = match off {
        Off::Expiry => revocation * 1000,
        Off::Margin => revocation,
        _ => Terms::new(revocation).validity,
    };
    let first_number = u64::from(off != Off::Numbers) * (process << 32);
    Holder::new(VM, Terms { validity }, first_number)
}

impl World {
    /// Starts with a VM that has a lease.
    fn new(off: Off) -> World {
        let mut world = World {
            off,
            now_ms: 1000,
            rounds: Default::default(),
            leader_applied: [LogIndex(1); 2],
            quorum: 0,
            link: Some(0),
            holder: holder(off, 1),
            requests: Vec::new(),
            replies: Vec::new(),
            reply_delay_ms: STEP_MS,
            is_frozen: false,
            suspended_ms: 0,
            clock_rate: 1000,
            gets_commands: true,
            applied: LogIndex(0),
            revoked_at_ms: None,
            is_held: false,
            violations: 0,
            gaps: 0,
        };
        world.run(1000);
        assert!(world.is_held, "a connected VM gets a lease");
        world.gaps = 0;
        world
    }

    fn clock(&self) -> BootInstant {
        let stopped = u64::from(self.off == Off::BootClock) * self.suspended_ms;
        BootInstant((self.now_ms - stopped) * self.clock_rate)
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now_ms += STEP_MS;
            self.step_leader();
            if !self.is_frozen {
                self.step_vm();
            }
        }
    }

    fn run_until_request(&mut self) {
        while self.requests.is_empty() {
            self.run(STEP_MS);
        }
    }

    /// A round takes a step; without a quorum, it does not end.
    fn step_leader(&mut self) {
        let Some(link) = self.link else {
            return self.requests.clear();
        };
        let rounds = &mut self.rounds[link];
        for pace in [Pace::Urgent, Pace::Heartbeat] {
            let has_quorum = self.quorum == link || self.off == Off::Quorum;
            let answers = has_quorum.then(|| rounds.confirmed(pace));
            for Answer { number, asker, .. } in answers.into_iter().flatten() {
                let applied = self.leader_applied[link];
                let reply = Reply {
                    number,
                    asker,
                    applied,
                };
                self.replies
                    .push((self.now_ms + self.reply_delay_ms, reply));
            }
        }
        for request in self.requests.drain(..) {
            let pace = rounds.add(VM, &request);
            rounds.start(pace);
        }
    }

    fn step_vm(&mut self) {
        // A call that arrived during a pause is handled before anything else.
        self.check();
        let clock = self.clock();
        if let Some(link) = self.link.filter(|_| self.gets_commands) {
            self.applied = self.applied.max(self.leader_applied[link]);
            self.holder.applied(self.applied);
        }
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .replies
            .extract_if(.., |(at, _)| *at <= now_ms)
            .collect();
        for (_, mut reply) in due {
            if self.off == Off::RequestTime {
                reply.number = self.holder.request(clock, true).number;
            }
            let applied = if self.off == Off::Index {
                reply.applied
            } else {
                self.applied
            };
            self.holder.reply(&reply, applied);
        }
        let is_held = self.holder.is_held(clock);
        if self.holder.is_request_due(clock) && !(self.off == Off::Renewal && is_held) {
            self.requests.push(self.holder.request(clock, !is_held));
        }
        self.check();
    }

    fn check(&mut self) {
        self.is_held = self.holder.is_held(self.clock());
        let late = |at| self.now_ms - at >= REVOCATION_MS;
        let is_late = self.applied < REVOKED && self.revoked_at_ms.is_some_and(late);
        self.violations += usize::from(self.is_held && is_late);
        self.gaps += usize::from(!self.is_held);
    }

    /// Acknowledges the removal of the key at a leader.
    fn revoke(&mut self, leader: usize) {
        self.leader_applied[leader] = REVOKED;
        self.revoked_at_ms = Some(self.now_ms);
    }
}

/// Runs a scenario as it is and with mechanisms switched off, each of which must break it.
fn check(scenario: impl Fn(&mut World), needed: &[Off]) {
    for off in [&[Off::Nothing], needed].concat() {
        let mut world = World::new(off);
        scenario(&mut world);
        assert_eq!(world.violations > 0, off != Off::Nothing, "without {off:?}");
    }
}

/// Guards against a VM that goes on accepting a revoked key after it was cut off, also on a slow
/// clock, and against one that stops although it has just been connected.
#[test]
fn lease_of_a_vm_that_is_cut_off_ends_in_time() {
    let scenario = |world: &mut World| {
        world.clock_rate = 970;
        world.run(2000);
        world.run_until_request();
        world.run(5 * STEP_MS);
        world.link = None;
        world.revoke(0);
        world.run(3000);
        assert!(
            world.is_held,
            "0.6 of the permitted time after the last contact"
        );
        world.run(9000);
    };
    check(scenario, &[Off::Expiry, Off::Margin]);
}

/// Guards against a thawed VM that accepts a key before it has contact again, or because of a reply
/// that had arrived meanwhile.
#[test]
fn lease_ends_while_the_vm_is_frozen() {
    let scenario = |world: &mut World| {
        world.run_until_request();
        world.is_frozen = true;
        world.run(300);
        world.link = None;
        world.revoke(0);
        world.run(7000);
        world.is_frozen = false;
        world.run(1000);
    };
    check(scenario, &[Off::Expiry, Off::RequestTime]);
}

/// Guards against a lease that is measured by a clock that stops while the VM is suspended.
#[test]
fn lease_ends_while_the_vm_is_suspended() {
    let scenario = |world: &mut World| {
        world.link = None;
        world.is_frozen = true;
        world.revoke(0);
        world.run(7000);
        world.suspended_ms = 7000;
        world.is_frozen = false;
        world.run(1000);
    };
    check(scenario, &[Off::BootClock]);
}

/// Guards against a restarted VM that accepts the keys of its stored configuration, or takes a late
/// reply to its earlier process for its own.
#[test]
fn restarted_vm_has_no_lease() {
    let scenario = |world: &mut World| {
        let process_start = if world.off == Off::Numbers {
            0
        } else {
            1 << 32
        };
        world.link = None;
        world.revoke(0);
        world.run(6000);
        world.holder = holder(world.off, 2);
        let stored = Reply {
            number: process_start,
            asker: VM,
            applied: LogIndex(1),
        };
        let own = world.holder.request(world.clock(), true).number;
        let number = if world.off == Off::Restart {
            own
        } else {
            stored.number
        };
        world
            .replies
            .push((world.now_ms, Reply { number, ..stored }));
        world.run(1000);
    };
    check(scenario, &[Off::Restart, Off::Numbers]);
}

/// Guards against a late reply that extends the lease beyond what its request permits.
#[test]
fn delayed_reply_grants_no_more_than_its_request_permits() {
    let scenario = |world: &mut World| {
        world.reply_delay_ms = 4000;
        world.run(1000);
        world.link = None;
        world.revoke(0);
        world.run(9000);
    };
    check(scenario, &[Off::RequestTime]);
}

/// Guards against a lease from a leader that has lost its quorum.
#[test]
fn deposed_leader_grants_nothing() {
    let scenario = |world: &mut World| {
        world.quorum = 1;
        world.revoke(1);
        world.run(9000);
    };
    check(scenario, &[Off::Quorum]);
}

/// Guards against a lease for a VM that has contact but lacks the removal of the key, and against one
/// that begins later than it could.
#[test]
fn lease_requires_the_confirmed_index() {
    let scenario = |world: &mut World| {
        world.gets_commands = false;
        world.revoke(0);
        world.run(7000);
        assert_eq!(world.is_held, world.off != Off::Nothing);
        world.gets_commands = true;
        world.run(STEP_MS);
        assert!(world.is_held);
    };
    check(scenario, &[Off::Index]);
}

/// Guards against a change of leader that ends the leases of connected VMs.
#[test]
fn lease_outlasts_a_change_of_leader() {
    for off in [Off::Nothing, Off::Renewal] {
        let mut world = World::new(off);
        world.run(2500);
        world.quorum = 1;
        world.run(1500);
        world.link = Some(1);
        world.holder.leader_changed();
        world.run(3000);
        assert_eq!(world.gaps > 0, off == Off::Renewal, "without {off:?}");
    }
}

/// Guards against a round per renewal on the leader, and against a request that shares a round which
/// began before it arrived.
#[test]
fn one_round_answers_all_requests_that_wait() {
    let request = |vm: u32, urgent| Request {
        number: 0,
        asker: VmId(vm),
        urgent,
    };
    let askers = |answers: Vec<Answer>| {
        answers
            .iter()
            .map(|answer| answer.asker.0)
            .collect::<Vec<_>>()
    };
    let mut rounds = Rounds::default();
    rounds.add(VM, &request(1, false));
    assert!(rounds.start(Pace::Heartbeat));
    rounds.add(VM, &request(2, false));
    rounds.add(VM, &request(3, true));
    assert!(!rounds.start(Pace::Heartbeat), "a round runs");
    assert!(rounds.start(Pace::Urgent), "at once");
    rounds.add(VM, &request(4, true));
    assert_eq!(askers(rounds.confirmed(Pace::Heartbeat)), [1]);
    assert_eq!(askers(rounds.confirmed(Pace::Urgent)), [2, 3]);
    assert!(
        !rounds.start(Pace::Heartbeat),
        "the urgent round has answered the renewal"
    );
    assert!(rounds.start(Pace::Urgent));
    rounds.failed(Pace::Urgent);
    assert!(rounds.confirmed(Pace::Urgent).is_empty());
}

/// Guards against requests without a pause while no leader replies, and a log line for each check.
#[test]
fn missing_lease_is_requested_and_reported_sparingly() {
    let at = |ms: u64| BootInstant(ms * 1000);
    let mut holder = holder(Off::Nothing, 1);
    let sent = (0..10_000)
        .filter(|ms| holder.is_request_due(at(*ms)) && holder.request(at(*ms), true).urgent);
    assert_eq!(sent.take(5).collect::<Vec<_>>(), [0, 100, 300, 700, 1200]);
    // A lease that is too old to tell that a key is unknown: one request for all such calls.
    let request = holder.request(at(20_000), true);
    let reply = Reply {
        number: request.number,
        asker: VM,
        applied: LogIndex(0),
    };
    holder.reply(&reply, LogIndex(0));
    let now = at(22_500);
    assert!(holder.is_held(now) && !holder.is_confirmed_within(now, UNKNOWN_KEY_CONFIRMATION));
    assert!(holder.needs_request_for_call(now));
    holder.request(now, true);
    assert!(!holder.needs_request_for_call(at(22_550)));
    assert!(holder.needs_request_for_call(at(22_600)), "lost");
    let mut watch = Watch::default();
    let changes = (0..5000).filter_map(|ms| watch.update(at(ms), Some(ms >= 3000)));
    let gained = Change::Gained(Duration::from_secs(3));
    assert_eq!(changes.collect::<Vec<_>>(), [Change::Refusing, gained]);
}
