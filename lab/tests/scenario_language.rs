//! Parser and runner of the scenario language, tested with a counter as the world.

use std::time::Duration;

use wagtailshunt_core::time;
use wagtailshunt_lab::{scenario, worlds};

/// A counter that rises by `step` every 10 ms and by N on the command `add N`.
#[derive(Default)]
struct Counter {
    step: u64,
    value: u64,
    due: time::Instant,
    lines: Vec<scenario::Line>,
}

impl scenario::World for Counter {
    fn set(&mut self, key: &str, value: &scenario::Arg) -> Result<(), scenario::WorldError> {
        match key {
            "step" => self.step = value.as_u64()?,
            _ => return Err(scenario::WorldError::UnknownSetting(key.to_owned())),
        }
        Ok(())
    }

    fn start(&mut self, seed: u64) -> Result<(), scenario::WorldError> {
        self.value = seed;
        self.due = time::Instant(10_000);
        Ok(())
    }

    fn next_event(&self) -> Option<time::Instant> {
        Some(self.due)
    }

    fn advance(&mut self, now: time::Instant) {
        self.value += self.step;
        self.due = self.due + Duration::from_millis(10);
        self.lines.push(scenario::Line {
            at: now,
            text: format!("value {}", self.value),
        });
    }

    fn command(
        &mut self,
        _now: time::Instant,
        name: &str,
        args: &scenario::Args,
    ) -> Result<(), scenario::WorldError> {
        match name {
            "add" => self.value += args.u64(0)?,
            _ => return Err(scenario::WorldError::UnknownCommand(name.to_owned())),
        }
        Ok(())
    }

    fn check(
        &mut self,
        _now: time::Instant,
        name: &str,
        args: &scenario::Args,
    ) -> Result<scenario::Verdict, scenario::WorldError> {
        let bound = args.u64(0)?;
        let holds = match name {
            "is" => self.value == bound,
            "below" => self.value < bound,
            _ => return Err(scenario::WorldError::UnknownCheck(name.to_owned())),
        };
        Ok(scenario::Verdict::from_condition(holds, || {
            format!("value is {}", self.value)
        }))
    }

    fn timeline(&mut self) -> Vec<scenario::Line> {
        std::mem::take(&mut self.lines)
    }
}

fn run(text: &str) -> Result<scenario::Report, scenario::RunError> {
    let script = scenario::parse(text).expect("script parses");
    scenario::run(
        &script,
        &scenario::Options::default(),
        &mut Counter::default(),
    )
}

fn failures(text: &str) -> Vec<(usize, u64)> {
    let report = run(text).expect("script runs");
    report
        .failures
        .iter()
        .map(|failure| (failure.line, failure.at.0))
        .collect()
}

/// Guards against parse errors without the position of the error.
#[test]
fn errors_have_positions() {
    let cases = [
        ("world x\nat 5x go\n", 2, 4, "duration"),
        ("world x\nat 5ms\n", 2, 7, "argument"),
        ("world x\n\n  evry 5ms go\n", 3, 3, "every"),
        ("world x\nseed seven\n", 2, 6, "whole number"),
        ("world x\nset key\n", 2, 8, "argument"),
        ("world x\nexpect maybe go\n", 2, 8, "always"),
        ("world x\nevery 5ms go\n", 2, 11, "until"),
        ("world x\nat 5ms say \"open\n", 2, 17, "\""),
        ("world x\nrepeat 2 every 5ms {\n  at 1ms go\n", 4, 1, "}"),
        ("world x\nat 5ms go ;\n", 2, 11, "end of line"),
        ("seed 7\nat 5ms go\n", 2, 1, "no world"),
    ];
    for (text, line, column, message) in cases {
        let err = scenario::parse(text).expect_err(text);
        assert_eq!((err.line, err.column), (line, column), "{text}: {err}");
        assert!(err.message.contains(message), "{text}: {err}");
    }
}

/// Guards against arguments that reach the world with a different type than in the script.
#[test]
fn arguments_keep_their_types() {
    let text = "world x\nat 1.5s go vm-2 -3 0.25 20us \"a \\\"b\\\"\" size=4 key=0190-aa # end\n";
    let script = scenario::parse(text).expect("script parses");
    let scenario::StatementKind::At(at, call) = &script.statements[0].kind else {
        panic!("not an `at` statement");
    };
    assert_eq!(*at, Duration::from_millis(1500));
    let expected = [
        scenario::Arg::Word("vm-2".to_owned()),
        scenario::Arg::Integer(-3),
        scenario::Arg::Decimal(0.25),
        scenario::Arg::Duration(Duration::from_micros(20)),
        scenario::Arg::Text("a \"b\"".to_owned()),
    ];
    assert!(call.args.positional().eq(expected.iter()));
    assert_eq!(
        call.args.required("size").and_then(scenario::Arg::as_u64),
        Ok(4)
    );
    assert_eq!(
        call.args.required("key").and_then(scenario::Arg::as_text),
        Ok("0190-aa")
    );
}

/// Guards against steps that run in the wrong order, too often or never.
#[test]
fn steps_run_in_time_order() {
    let text = "world x\nseed 100\nset step 1\n\
        expect at 30ms is 114\nat 25ms add 5\n\
        every 5ms from 10ms until 20ms add 1\n\
        repeat 2 every 10ms {\n at 1ms add 2\n}\n";
    assert_eq!(failures(text), []);
    let report = run(text).expect("script runs").to_string();
    assert_eq!(report, run(text).expect("script runs").to_string());
    assert!(report.contains("10.000ms value 103"), "{report}");
}

/// Guards against expectations that pass without being met, or that fail more than once.
#[test]
fn expectations_fail_once_at_their_time() {
    let head = "world x\nset step 1\nduration 100ms\n";
    assert_eq!(
        failures(&format!("{head}expect always below 5")),
        [(4, 50_000)]
    );
    assert_eq!(
        failures(&format!("{head}expect always until 45ms below 5")),
        []
    );
    assert_eq!(
        failures(&format!("{head}expect always from 95ms below 5")),
        [(4, 95_000)]
    );
    assert_eq!(failures(&format!("{head}expect by 100ms is 7")), []);
    assert_eq!(
        failures(&format!("{head}expect by 65ms is 7")),
        [(4, 65_000)]
    );
    assert_eq!(
        failures(&format!("{head}expect by 100ms from 85ms is 7")),
        [(4, 100_000)]
    );
}

/// Guards against scripts that never end, and against misuse of a world without an error.
#[test]
fn invalid_scripts_are_rejected() {
    let cases = [
        ("every 0ms until 1s add 1", "line 2: the period"),
        ("every 1us until 1h add 1", "more than 1000000 steps"),
        ("every 1s from 2s until 1s add 1", "before the start"),
        (
            "duration 1s\nat 2s add 1",
            "line 3: the statement is after the end",
        ),
        ("at 1s subtract 1", "line 2: unknown command `subtract`"),
        ("at 1s add many", "line 2: `many` is not a whole number"),
        ("expect at 1s is", "line 2: argument 1 is missing"),
        ("set pace 3", "line 2: unknown setting `pace`"),
    ];
    for (text, message) in cases {
        let err = run(&format!("world x\n{text}\n"))
            .expect_err(text)
            .to_string();
        assert!(err.contains(message), "{text}: {err}");
    }
    assert!(worlds::create("nowhere").is_err());
}
