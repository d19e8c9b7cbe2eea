//! Leader side of a ledger shard: proposals, waiting resends, expiry and change of leader.

use std::time::Duration;

use wagtailshunt_core::{ledger, time, types};

const WALL: time::UnixMillis = time::UnixMillis(1_900_000_000_000);
const START: time::Instant = time::Instant(7_000_000);

fn holder(claim: u64) -> ledger::Holder {
    ledger::Holder {
        vm: types::VmId(claim as u32),
        incarnation: types::Incarnation(1),
        claim,
    }
}

fn key() -> ledger::Key {
    ledger::Key::new(WALL, 1)
}

fn answer() -> ledger::Answer {
    ledger::Answer {
        status: 201,
        headers: Vec::new(),
        body: Some("booked".into()),
    }
}

/// One replica that leads and commits every proposal at once.
struct Leader {
    service: ledger::Service,
    ledger: ledger::Ledger,
    index: u64,
    elapsed: Duration,
    answers: Vec<(u64, ledger::ServiceReply)>,
}

impl Leader {
    fn new() -> Self {
        let service = ledger::Service::new(ledger::ServiceConfig::default());
        let mut leader = Leader {
            service,
            ledger: ledger::Ledger::new(),
            index: 0,
            elapsed: Duration::ZERO,
            answers: Vec::new(),
        };
        leader.service.lead(START, WALL, &leader.ledger);
        leader
    }

    fn now(&self) -> time::Instant {
        START + self.elapsed
    }

    fn wall(&self) -> time::UnixMillis {
        time::UnixMillis(WALL.0 + self.elapsed.as_millis() as u64)
    }

    fn request(&mut self, token: u64, request: ledger::Request) {
        let (now, wall) = (self.now(), self.wall());
        self.service
            .request(now, wall, token, request, &self.ledger);
        self.drain();
    }

    fn claim(&mut self, token: u64, by: u64) {
        let request = ledger::Request::Claim {
            key: key(),
            digest: ledger::Digest(0),
            holder: holder(by),
            remaining: Duration::from_secs(1),
        };
        self.request(token, request);
    }

    fn tick(&mut self, after: Duration) {
        self.elapsed += after;
        let (now, wall) = (self.now(), self.wall());
        self.service.tick(now, wall, &self.ledger);
        self.drain();
    }

    fn drain(&mut self) {
        while let Some(output) = self.service.poll_output() {
            match output {
                ledger::Output::Answer { token, reply } => self.answers.push((token, reply)),
                ledger::Output::Propose { ticket, command } => {
                    self.index += 1;
                    let index = types::LogIndex(self.index);
                    self.service.proposed(ticket, index);
                    let reply = self.ledger.apply(index, &command);
                    let (now, wall) = (self.now(), self.wall());
                    let ledger = &self.ledger;
                    self.service
                        .applied(now, wall, index, &command, reply, ledger);
                }
            }
        }
    }

    fn taken(&mut self) -> Vec<(u64, ledger::ServiceReply)> {
        std::mem::take(&mut self.answers)
    }
}

fn reply(token: u64, reply: ledger::Reply) -> (u64, ledger::ServiceReply) {
    (token, ledger::ServiceReply::Reply(reply))
}

/// Guards against a resend that runs, or is answered without the outcome, while the first run goes
/// on.
#[test]
fn resends_wait_for_the_answer_of_the_first_run() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    assert_eq!(leader.taken(), [reply(1, ledger::Reply::Granted)]);
    leader.claim(2, 2);
    leader.claim(3, 3);
    assert_eq!(leader.taken(), []);
    let complete = ledger::Request::Complete {
        key: key(),
        holder: holder(1),
        answer: answer(),
    };
    leader.request(4, complete);
    let replay = ledger::Reply::Completed(answer());
    let expected = [
        reply(4, ledger::Reply::Done),
        reply(2, replay.clone()),
        reply(3, replay),
    ];
    assert_eq!(leader.taken(), expected);
}

/// Guards against resends that wait forever, or all run, after the first run was proved not to have
/// happened.
#[test]
fn one_waiting_resend_takes_over_after_a_release() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    leader.claim(2, 2);
    leader.claim(3, 3);
    leader.taken();
    let release = ledger::Request::Release {
        key: key(),
        holder: holder(1),
    };
    leader.request(4, release);
    let expected = [
        reply(4, ledger::Reply::Done),
        reply(2, ledger::Reply::Granted),
    ];
    assert_eq!(leader.taken(), expected);
    assert_eq!(leader.service.waiting(), 1);
}

/// Guards against a claim of a lost gateway that blocks its key until the end of the kept window.
#[test]
fn claims_of_lost_gateways_expire_after_deadline_and_grace() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    leader.taken();
    leader.tick(Duration::from_millis(2_500));
    leader.claim(2, 2);
    assert_eq!(leader.taken(), []);
    let (now, wall) = (leader.now(), leader.wall());
    let due = leader.service.next_deadline(now, wall, &leader.ledger);
    assert_eq!(due, Some(START + Duration::from_secs(3)));
    leader.tick(Duration::from_millis(500));
    assert_eq!(leader.taken(), [reply(2, ledger::Reply::Unknown)]);
}

/// Guards against a waiting resend that is not answered by its own deadline.
#[test]
fn waiting_resends_are_answered_at_their_deadline() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    leader.taken();
    leader.tick(Duration::from_millis(500));
    leader.claim(2, 2);
    leader.tick(Duration::from_millis(1_000));
    let [(2, ledger::ServiceReply::Reply(ledger::Reply::Running { .. }))] = leader.taken()[..]
    else {
        panic!("the resend was not answered");
    };
    assert_eq!(leader.service.waiting(), 0);
}

/// Guards against requests that hang at a VM that no longer leads, and against an old leader that
/// decides anything.
#[test]
fn requests_are_turned_away_when_leadership_ends() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    leader.claim(2, 2);
    leader.taken();
    leader.service.step_down();
    leader.claim(3, 3);
    let expected = [2, 3].map(|token| (token, ledger::ServiceReply::NotLeader));
    assert_eq!(leader.taken(), expected);
    let (now, wall) = (leader.now(), leader.wall());
    leader.service.lead(now, wall, &leader.ledger);
    leader.claim(4, 1);
    assert_eq!(leader.taken(), [reply(4, ledger::Reply::Granted)]);
}

/// Guards against claims that expire at once, or never, when the new leader's wall clock is behind.
#[test]
fn replicated_time_goes_on_with_a_slow_wall_clock() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    leader.taken();
    let hour_behind = time::UnixMillis(WALL.0 - 3_600_000);
    leader.service.lead(START, hour_behind, &leader.ledger);
    let later = START + Duration::from_secs(3);
    leader.service.tick(later, hour_behind, &leader.ledger);
    let output = leader.service.poll_output();
    let Some(ledger::Output::Propose { command, .. }) = output else {
        panic!("the claim did not expire");
    };
    let now = time::UnixMillis(WALL.0 + 3_000);
    assert_eq!(command, ledger::Command::Advance { now });
}

/// Guards against log entries while there is nothing to expire, which would cost measuring budget
/// and disk writes on an idle system.
#[test]
fn an_idle_ledger_proposes_nothing() {
    let mut leader = Leader::new();
    for _ in 0..1_000 {
        leader.tick(Duration::from_secs(60));
    }
    assert_eq!(leader.index, 0);
}
