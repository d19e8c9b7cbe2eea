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

fn stored_response() -> ledger::StoredResponse {
    ledger::StoredResponse {
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
    replies: Vec<(u64, ledger::ServiceReply)>,
}

impl Leader {
    fn new() -> Self {
        let service = ledger::Service::new(ledger::ServiceConfig::default());
        let mut leader = Leader {
            service,
            ledger: ledger::Ledger::new(),
            index: 0,
            elapsed: Duration::ZERO,
            replies: Vec::new(),
        };
        leader.service.become_leader(START, WALL, &leader.ledger);
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
                ledger::Output::Reply { token, reply } => self.replies.push((token, reply)),
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

    fn take_replies(&mut self) -> Vec<(u64, ledger::ServiceReply)> {
        std::mem::take(&mut self.replies)
    }
}

fn reply(token: u64, reply: ledger::Reply) -> (u64, ledger::ServiceReply) {
    (token, ledger::ServiceReply::Reply(reply))
}

/// Guards against a resend that runs, or receives a reply without the outcome, while the first run
/// is in progress.
#[test]
fn resends_wait_for_the_response_of_the_first_run() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    assert_eq!(leader.take_replies(), [reply(1, ledger::Reply::Granted)]);
    leader.claim(2, 2);
    leader.claim(3, 3);
    assert_eq!(leader.take_replies(), []);
    let complete = ledger::Request::Complete {
        key: key(),
        holder: holder(1),
        response: stored_response(),
    };
    leader.request(4, complete);
    let replay = ledger::Reply::Completed(stored_response());
    let expected = [
        reply(4, ledger::Reply::Done),
        reply(2, replay.clone()),
        reply(3, replay),
    ];
    assert_eq!(leader.take_replies(), expected);
}

/// Guards against resends that wait forever, or that all run, after the first call was proved not
/// to have run.
#[test]
fn one_waiting_resend_claims_the_key_after_a_release() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    leader.claim(2, 2);
    leader.claim(3, 3);
    leader.take_replies();
    let release = ledger::Request::Release {
        key: key(),
        holder: holder(1),
    };
    leader.request(4, release);
    let expected = [
        reply(4, ledger::Reply::Done),
        reply(2, ledger::Reply::Granted),
    ];
    assert_eq!(leader.take_replies(), expected);
    assert_eq!(leader.service.waiting_count(), 1);
}

/// Guards against a claim of a lost gateway that blocks its key until the end of the retention
/// period.
#[test]
fn claims_of_lost_gateways_expire_after_deadline_and_grace() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    leader.take_replies();
    leader.tick(Duration::from_millis(2_500));
    leader.claim(2, 2);
    assert_eq!(leader.take_replies(), []);
    let (now, wall) = (leader.now(), leader.wall());
    let due = leader.service.next_deadline(now, wall, &leader.ledger);
    assert_eq!(due, Some(START + Duration::from_secs(3)));
    leader.tick(Duration::from_millis(500));
    assert_eq!(leader.take_replies(), [reply(2, ledger::Reply::Unknown)]);
}

/// Guards against a waiting resend that receives no reply by its own deadline.
#[test]
fn waiting_resends_receive_a_reply_at_their_deadline() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    leader.take_replies();
    leader.tick(Duration::from_millis(500));
    leader.claim(2, 2);
    leader.tick(Duration::from_millis(1_000));
    let [(2, ledger::ServiceReply::Reply(ledger::Reply::Running { .. }))] =
        leader.take_replies()[..]
    else {
        panic!("the resend received no reply");
    };
    assert_eq!(leader.service.waiting_count(), 0);
}

/// Guards against requests that receive no reply from a VM that lost leadership, and against
/// decisions of a former leader.
#[test]
fn requests_are_rejected_when_leadership_ends() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    leader.claim(2, 2);
    leader.take_replies();
    leader.service.step_down();
    leader.claim(3, 3);
    let expected = [2, 3].map(|token| (token, ledger::ServiceReply::NotLeader));
    assert_eq!(leader.take_replies(), expected);
    let (now, wall) = (leader.now(), leader.wall());
    leader.service.become_leader(now, wall, &leader.ledger);
    leader.claim(4, 1);
    assert_eq!(leader.take_replies(), [reply(4, ledger::Reply::Granted)]);
}

/// Guards against claims that expire at once, or never, when the new leader's wall clock is behind.
#[test]
fn replicated_time_advances_with_a_wall_clock_that_is_behind() {
    let mut leader = Leader::new();
    leader.claim(1, 1);
    leader.take_replies();
    let hour_behind = time::UnixMillis(WALL.0 - 3_600_000);
    leader
        .service
        .become_leader(START, hour_behind, &leader.ledger);
    let later = START + Duration::from_secs(3);
    leader.service.tick(later, hour_behind, &leader.ledger);
    let output = leader.service.poll_output();
    let Some(ledger::Output::Propose { command, .. }) = output else {
        panic!("the claim did not expire");
    };
    let now = time::UnixMillis(WALL.0 + 3_000);
    assert_eq!(command, ledger::Command::Advance { now });
}

/// Guards against log entries while there is nothing to expire, which would consume the measuring
/// budget and disk writes on an idle system.
#[test]
fn an_idle_ledger_proposes_nothing() {
    let mut leader = Leader::new();
    for _ in 0..1_000 {
        leader.tick(Duration::from_secs(60));
    }
    assert_eq!(leader.index, 0);
}
