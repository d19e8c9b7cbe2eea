//! Generated calls with random faults: no key runs twice, no call runs whose caller received "not
//! run", no caller gets any part of the response to another call, and no response is late.

use wagtailshunt_lab::{scenario, worlds};

/// Number of calls of one run. 21 runs send more than 100,000 calls.
const CALLS: u64 = 5_000;

fn run(seed: u64, settings: &str, commands: &str) -> scenario::Report {
    let load = format!("at 10ms load calls={CALLS} rate=200 resends=3");
    run_load(seed, settings, &load, commands)
}

fn run_load(seed: u64, settings: &str, load: &str, commands: &str) -> scenario::Report {
    let text = format!(
        "world keys\n{settings}\nduration 40s\n{load}\n{commands}\n\
         expect at 40s single_runs\n\
         expect at 40s true_not_runs\n\
         expect at 40s whole_answers\n\
         expect at 40s timely_answers\n"
    );
    let script = scenario::parse(&text).expect("script parses");
    let options = scenario::Options {
        seed: Some(seed),
        ..Default::default()
    };
    let mut world = worlds::create("keys").expect("world exists");
    scenario::run(&script, &options, world.as_mut()).expect("script runs")
}

const ANSWER_FAULTS: &str = "set lost 0.01\nset late 0.01\nset doubled 0.02\nset crossed 0.01\n\
     set truncated 0.01\nset reset 0.02\nset refused 0.05\nset bare 0.02";

const CONTROL_FAULTS: &str = "set control_lost 0.05\nset control_doubled 0.05";

/// Guards against interleavings of faults that run a key twice, report "not run" for a call that
/// ran, or mix up responses.
#[test]
fn guarantees_hold_for_generated_calls_under_all_faults() {
    for seed in 0..21 {
        let settings = format!("{ANSWER_FAULTS}\n{CONTROL_FAULTS}");
        let report = run(seed, &settings, "at 1s chaos until=25s");
        assert!(report.passed(), "seed {seed}: {:#?}", report.failures);
    }
}

/// Guards against checks that still pass when one of the mechanisms is disabled.
#[test]
fn checks_detect_each_disabled_mechanism() {
    let switches = [
        "claims",
        "grant_fence",
        "proofs",
        "claim_numbers",
        "expiry_is_unknown",
        "attempts",
        "framing",
    ];
    for switch in switches {
        let settings = format!("{ANSWER_FAULTS}\n{CONTROL_FAULTS}\nset {switch} off");
        let detected = |seed| !run(seed, &settings, "at 1s chaos until=25s").passed();
        assert!((0..6).any(detected), "{switch} off was not detected");
    }
}

/// Guards against a request that crashes one target after another, over all gateways and resends,
/// and against a check that does not detect this. A third target may be lost during a leader
/// change.
#[test]
fn crashing_requests_crash_a_bounded_number_of_targets() {
    let poison = "at 1s load calls=2000 rate=100 poison=0.004\nexpect at 40s lost_targets_each";
    for seed in 0..4 {
        let report = run(seed, "set lost 0.002", &format!("{poison} 2"));
        assert!(report.passed(), "seed {seed}: {:#?}", report.failures);
        let chaos = format!("{poison} 3\nat 1s chaos until=25s");
        let report = run(seed, "set lost 0.002", &chaos);
        assert!(report.passed(), "seed {seed}: {:#?}", report.failures);
    }
    let report = run(0, "set containment off", &format!("{poison} 3"));
    assert!(!report.passed());
}

/// Guards against pairs of faults that do harm only in combination. Runs each fault alone and each
/// pair; at least 60% of the requests must be answered in the end.
#[test]
fn promises_hold_under_every_two_faults() {
    let shares = [
        "lost",
        "late",
        "doubled",
        "crossed",
        "truncated",
        "reset",
        "refused",
        "bare",
        "control_lost",
        "control_doubled",
    ];
    let events = [
        "crash_gateway 1",
        "crash_leader",
        "cut_leader",
        "crash_target 1",
        "silence_target 1",
    ];
    let share = |name: &&str| (format!("set {name} 0.05"), String::new());
    let event = |command: &&str| {
        let every = format!("every 1500ms from 1s until 5s {command}");
        (String::new(), every)
    };
    let quorum = "at 1500ms quorum off\nat 3s quorum on".to_owned();
    let mut faults: Vec<(String, String)> = shares.iter().map(share).collect();
    faults.extend(events.iter().map(event));
    faults.push((String::new(), quorum));
    let load = "at 10ms load calls=500 rate=100 resends=3";
    for (number, first) in faults.iter().enumerate() {
        for second in &faults[number..] {
            let settings = format!("{}\n{}", first.0, second.0);
            let commands = format!("{}\n{}\nexpect at 40s answered 0.6", first.1, second.1);
            let report = run_load(7, &settings, load, &commands);
            assert!(
                report.passed(),
                "{first:?} {second:?}: {:#?}",
                report.failures
            );
        }
    }
}
