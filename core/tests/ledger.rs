//! Idempotency keys: state machine, snapshots, claims, and proofs that a call did not run.

use std::{collections, time::Duration};

use quickcheck::{Gen, QuickCheck};
use wagtailshunt_core::{ledger, outcome, time, types};

const NOW: time::UnixMillis = time::UnixMillis(1_900_000_000_000);
const START: time::Instant = time::Instant(5_000_000);
const MINUTE: u64 = 60_000;
const DAY: u64 = 24 * 60 * MINUTE;

fn at(offset: u64) -> time::UnixMillis {
    time::UnixMillis(NOW.0 + offset)
}

fn key(number: u8) -> ledger::Key {
    ledger::Key::new(at(u64::from(number)), u128::from(number))
}

fn holder(number: u64) -> ledger::Holder {
    ledger::Holder {
        vm: types::VmId(1 + (number % 3) as u32),
        incarnation: types::Incarnation(1),
        claim: number,
    }
}

fn digest(number: u8) -> ledger::Digest {
    ledger::Digest(u128::from(number))
}

fn stored_response(number: u8) -> ledger::StoredResponse {
    ledger::StoredResponse {
        status: 200,
        headers: vec![(
            "content-type".into(),
            bytes::Bytes::from_static(b"text/plain"),
        )],
        body: Some(vec![number; usize::from(number)].into()),
    }
}

fn claim(number: u8, by: u64, now: u64) -> ledger::Command {
    ledger::Command::Claim {
        key: key(number),
        digest: digest(0),
        holder: holder(by),
        now: at(now),
        expires: at(now + 5_000),
    }
}

#[derive(Default)]
struct Replica {
    ledger: ledger::Ledger,
    index: u64,
}

impl Replica {
    fn apply(&mut self, command: ledger::Command) -> ledger::Reply {
        self.index += 1;
        self.ledger.apply(types::LogIndex(self.index), &command)
    }
}

/// One generated step: kind, key, claim, time step.
type Step = (u8, u8, u8, u16);

fn command((kind, key_number, by, _): Step, now: u64) -> ledger::Command {
    let (key_number, by) = (key_number % 4, u64::from(by % 5));
    let (key, holder) = (key(key_number), holder(by));
    match kind % 16 {
        0..=5 => claim(key_number, by, now),
        6..=7 => {
            let response = stored_response(key_number);
            ledger::Command::Complete {
                key,
                holder,
                response,
            }
        }
        8..=11 => ledger::Command::Release { key, holder },
        12..=13 => ledger::Command::Fail { key, holder },
        _ => ledger::Command::Advance { now: at(now) },
    }
}

/// Guards against a second run: a key that was granted to a claim must not be granted to another
/// one unless the first released it, in any order of commands, with restarts from snapshots in
/// between.
#[test]
fn a_key_is_granted_once_unless_its_holder_releases_it() {
    fn property(steps: Vec<Step>) -> bool {
        let mut replica = Replica::default();
        let mut granted = collections::BTreeMap::new();
        let mut now = 0;
        for step in steps {
            now += u64::from(step.3 % 4_000);
            // Some steps are later than the retention period.
            if step.0 % 16 == 15 && step.3 % 4 == 0 {
                now += DAY + 1;
            }
            let command = command(step, now);
            let reply = replica.apply(command.clone());
            let restored = ledger::Ledger::restore(&replica.ledger.snapshot()).unwrap();
            if restored != replica.ledger {
                return false;
            }
            replica.ledger = restored;
            let allowed = match (&command, reply) {
                (ledger::Command::Claim { key, holder, .. }, ledger::Reply::Granted) => {
                    *granted.entry(*key).or_insert(*holder) == *holder
                }
                (ledger::Command::Release { key, holder }, ledger::Reply::Done) => {
                    granted.remove(key) == Some(*holder)
                }
                _ => true,
            };
            if !allowed {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 0x6c65_6467_6572))
        .tests(3_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against a duplicated or late command of an earlier claim that ends a later claim of the
/// same gateway, which would let the key run twice.
#[test]
fn late_release_of_an_earlier_claim_has_no_effect() {
    let mut replica = Replica::default();
    let release = ledger::Command::Release {
        key: key(1),
        holder: holder(1),
    };
    assert_eq!(replica.apply(claim(1, 1, 0)), ledger::Reply::Granted);
    assert_eq!(replica.apply(release.clone()), ledger::Reply::Done);
    assert_eq!(replica.apply(claim(1, 4, 0)), ledger::Reply::Granted);
    assert_eq!(holder(1).vm, holder(4).vm);
    assert_eq!(replica.apply(release), ledger::Reply::NotHolder);
    let running = ledger::Reply::Running { expires: at(5_000) };
    assert_eq!(replica.apply(claim(1, 2, 0)), running);
}

/// Guards against replaying the response of one request to another one under the same key.
#[test]
fn another_request_under_the_same_key_is_refused() {
    let mut replica = Replica::default();
    replica.apply(claim(1, 1, 0));
    let other = ledger::Command::Claim {
        key: key(1),
        digest: digest(9),
        holder: holder(2),
        now: at(1),
        expires: at(5_000),
    };
    assert_eq!(replica.apply(other.clone()), ledger::Reply::Mismatch);
    let complete = ledger::Command::Complete {
        key: key(1),
        holder: holder(1),
        response: stored_response(9),
    };
    replica.apply(complete);
    assert_eq!(replica.apply(other), ledger::Reply::Mismatch);
}

/// Guards against losing the outcome when the reply to a command is lost and the command is sent
/// again.
#[test]
fn repeated_commands_have_the_same_result() {
    let mut replica = Replica::default();
    let complete = ledger::Command::Complete {
        key: key(1),
        holder: holder(1),
        response: stored_response(9),
    };
    assert_eq!(replica.apply(claim(1, 1, 0)), ledger::Reply::Granted);
    assert_eq!(replica.apply(claim(1, 1, 1)), ledger::Reply::Granted);
    assert_eq!(replica.apply(complete.clone()), ledger::Reply::Done);
    assert_eq!(replica.apply(complete), ledger::Reply::Done);
    let replay = ledger::Reply::Completed(stored_response(9));
    assert_eq!(replica.apply(claim(1, 2, 2)), replay);
}

/// Guards against a second run under a key whose gateway was lost, and against ignoring an outcome
/// that this gateway reports later.
#[test]
fn expired_claims_become_unknown_until_their_holder_reports() {
    let mut replica = Replica::default();
    replica.apply(claim(1, 1, 0));
    replica.apply(claim(2, 1, 0));
    replica.apply(ledger::Command::Advance { now: at(5_000) });
    assert_eq!(replica.apply(claim(1, 2, 5_001)), ledger::Reply::Unknown);
    assert_eq!(replica.apply(claim(1, 1, 5_002)), ledger::Reply::Unknown);
    let complete = ledger::Command::Complete {
        key: key(1),
        holder: holder(1),
        response: stored_response(3),
    };
    assert_eq!(replica.apply(complete), ledger::Reply::Done);
    let fail = ledger::Command::Fail {
        key: key(2),
        holder: holder(1),
    };
    let release = ledger::Command::Release {
        key: key(2),
        holder: holder(1),
    };
    assert_eq!(replica.apply(fail), ledger::Reply::Done);
    assert_eq!(replica.apply(release), ledger::Reply::NotHolder);
}

/// Guards against running a key again after its retention period, and against keys that are never
/// dropped.
#[test]
fn keys_outside_the_retention_period_do_not_run() {
    let mut replica = Replica::default();
    replica.apply(claim(1, 1, 0));
    replica.apply(ledger::Command::Advance { now: at(DAY + 2) });
    assert!(replica.ledger.is_empty());
    assert_eq!(replica.ledger.bytes(), 0);
    assert_eq!(replica.apply(claim(1, 2, DAY + 2)), ledger::Reply::TooOld);
    let future = ledger::Command::Claim {
        key: ledger::Key::new(at(DAY + 2 + 5 * MINUTE + 1), 0),
        digest: digest(0),
        holder: holder(3),
        now: at(DAY + 2),
        expires: at(DAY + 5_000),
    };
    assert_eq!(replica.apply(future), ledger::Reply::TooNew);
}

/// Guards against running an old key again on a ledger whose retention floor has not risen, as
/// after a day without calls: the floor only rises while there are keys.
#[test]
fn an_old_key_does_not_run_on_an_empty_ledger() {
    let mut replica = Replica::default();
    assert_eq!(replica.apply(claim(1, 1, DAY + 2)), ledger::Reply::TooOld);
    assert!(replica.ledger.is_empty());
}

/// Guards against growth without bound, and against losing the outcome together with a response
/// that does not fit.
#[test]
fn limits_hold_and_the_outcome_is_kept_without_the_response() {
    let mut replica = Replica::default();
    let limits = ledger::Limits {
        keys: 2,
        bytes: 2 * ledger::BYTES_PER_KEY + 20,
    };
    replica.apply(ledger::Command::Configure { limits });
    replica.apply(claim(1, 1, 0));
    replica.apply(claim(2, 2, 0));
    assert_eq!(replica.apply(claim(3, 3, 0)), ledger::Reply::Full);
    let complete = ledger::Command::Complete {
        key: key(1),
        holder: holder(1),
        response: stored_response(200),
    };
    assert_eq!(replica.apply(complete), ledger::Reply::Done);
    let ledger::Reply::Completed(stored) = replica.apply(claim(1, 3, 0)) else {
        panic!("the outcome was lost");
    };
    assert_eq!((stored.status, stored.body), (200, None));
    assert!(replica.ledger.bytes() <= limits.bytes);
}

/// Guards against a replica that starts from a damaged or newer snapshot.
#[test]
fn damaged_snapshots_are_refused() {
    let mut replica = Replica::default();
    replica.apply(claim(1, 1, 0));
    let data = replica.ledger.snapshot();
    for index in 1..data.len() {
        let mut damaged = data.to_vec();
        damaged[index] ^= 1;
        let result = ledger::Ledger::restore(&damaged);
        assert_eq!(result, Err(ledger::RestoreError::Checksum), "byte {index}");
    }
    let mut newer = data.to_vec();
    newer[0] = 2;
    let result = ledger::Ledger::restore(&newer);
    assert_eq!(result, Err(ledger::RestoreError::Version { version: 2 }));
    assert!(ledger::Ledger::restore(&[]).is_err());
}

/// Guards against keys without a creation time, and against keys that change when parsed and
/// displayed.
#[test]
fn only_uuids_of_version_7_are_keys() {
    let text = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    let parsed = ledger::Key::parse(text).unwrap();
    assert_eq!(parsed.to_string(), text);
    assert_eq!(parsed.created(), time::UnixMillis(0x017f_22e2_79b0));
    assert_eq!(ledger::Key::parse(&format!("\"{text}\"")), Ok(parsed));
    let version_4 = "919108f7-52d1-4320-9bac-f847db4148a8";
    assert_eq!(
        ledger::Key::parse(version_4),
        Err(ledger::KeyError::Version)
    );
    for bad in [
        "",
        "abc",
        "017f22e2079b0-7cc3-98c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
    ] {
        assert_eq!(
            ledger::Key::parse(bad),
            Err(ledger::KeyError::Format),
            "{bad}"
        );
    }
}

/// Guards against equal digests of requests that differ only in where one part ends.
#[test]
fn digest_separates_parts() {
    let first = ledger::Digest::of_request("a", "POST", "/x", b"y");
    let second = ledger::Digest::of_request("a", "POST", "/xy", b"");
    assert_ne!(first, second);
    assert_eq!(first, ledger::Digest::of_request("a", "POST", "/x", b"y"));
}

fn requested(by: u64) -> ledger::claim::Claim<ledger::claim::Requested> {
    let deadline = START + Duration::from_secs(1);
    ledger::claim::Claim::new(key(1), digest(0), holder(by), deadline)
}

fn granted(by: u64) -> ledger::claim::Claim<ledger::claim::Granted> {
    match requested(by).handle_reply(&ledger::Reply::Granted) {
        ledger::claim::ClaimDecision::Granted(claim) => claim,
        other => panic!("not granted: {other:?}"),
    }
}

/// Guards against a key that stays claimed after its gateway abandoned the claim, and against the
/// release of a claim whose call ran when its grant is delivered twice.
#[test]
fn late_grants_are_released_only_if_the_call_never_ran() {
    let mut late = ledger::claim::LateGrants::default();
    let release = requested(1).abandon(&mut late);
    assert_eq!(
        late.handle_reply(holder(1), &ledger::Reply::Granted),
        Some(release)
    );
    let dispatched = granted(2).dispatch(START).unwrap();
    let fail = dispatched.fail();
    assert!(matches!(fail, ledger::Request::Fail { .. }));
    assert_eq!(late.handle_reply(holder(2), &ledger::Reply::Granted), None);
    late.expire(START + Duration::from_secs(60));
    assert!(late.is_empty());
}

/// Guards against dispatch after the deadline, when the caller may already have received a "not
/// run" outcome.
#[test]
fn nothing_is_dispatched_after_the_deadline() {
    let claim = granted(1);
    let deadline = claim.deadline();
    assert!(claim.dispatch(deadline).is_err());
}

/// Guards against a release without a proof that the call did not run.
#[test]
fn only_a_proof_that_it_did_not_run_releases_a_dispatched_call() {
    let responded = |not_run_marker| outcome::AttemptResult::Answered { not_run_marker };
    let proof = outcome::NotRunProof::of;
    assert!(proof(outcome::AttemptResult::NotSent).is_some());
    assert!(proof(responded(true)).is_some());
    assert!(proof(responded(false)).is_none());
    assert!(proof(outcome::AttemptResult::Broken).is_none());
    assert!(proof(outcome::AttemptResult::TimedOut).is_none());
    let mut late = ledger::claim::LateGrants::default();
    let dispatched = granted(1).dispatch(START).unwrap();
    let release = dispatched.not_run(proof(responded(true)).unwrap(), &mut late);
    assert!(matches!(release, ledger::Request::Release { .. }));
}

/// Guards against reporting "not run" to a caller when an earlier attempt under the key may have
/// run.
#[test]
fn not_run_is_unknown_if_an_earlier_attempt_may_have_run() {
    let cases = [
        (true, Some(1), outcome::Outcome::NotRun),
        (true, Some(2), outcome::Outcome::Unknown),
        (true, None, outcome::Outcome::Unknown),
        (false, None, outcome::Outcome::NotRun),
        (false, Some(2), outcome::Outcome::Unknown),
    ];
    for (keyed, attempt, expected) in cases {
        let earlier = outcome::EarlierAttempts::from_headers(keyed, attempt);
        let outcome = outcome::Outcome::NotRun.with_earlier(earlier);
        assert_eq!(outcome, expected, "keyed {keyed}, attempt {attempt:?}");
    }
}

/// Guards against two reasons with the same problem type, which callers could not distinguish.
#[test]
fn problem_types_are_distinct() {
    let all = outcome::Reason::ALL;
    let types: collections::BTreeSet<_> = all.iter().map(|reason| reason.type_uri()).collect();
    assert_eq!(types.len(), all.len());
    assert!(
        all.iter()
            .all(|reason| (400..600).contains(&reason.status()))
    );
}
