//! Command `scenario`: runs a script in a simulated world and prints its events and failed checks.

use wagtailshunt_lab::{scenario, worlds};

use crate::{exit, options, records};

/// Runs `scenario`.
pub fn run(global: &options::Program, opts: &options::Scenario) -> Result<exit::Code, exit::Error> {
    let text = records::read(&opts.file)?;
    let name = opts.file.display();
    let script =
        scenario::parse(&text).map_err(|err| exit::Error::Usage(format!("{name}: {err}")))?;
    let overrides = scenario::Options {
        seed: opts.seed,
        settings: opts
            .set
            .iter()
            .map(|set| parse_setting(set))
            .collect::<Result<_, _>>()?,
    };
    let mut world = worlds::create(&script.world)
        .map_err(|err| exit::Error::Usage(format!("{name}: {err}")))?;
    let report = scenario::run(&script, &overrides, world.as_mut())
        .map_err(|err| exit::Error::Usage(format!("{name}: {err}")))?;
    if global.json {
        println!("{}", report_json(&report));
    } else {
        print!("{report}");
    }
    match report.passed() {
        true => Ok(exit::Code::Ok),
        false => Ok(exit::Code::Failed),
    }
}

/// Parses `KEY=VALUE` with the syntax of a `set` line in the header of a script.
fn parse_setting(text: &str) -> Result<scenario::Setting, exit::Error> {
    let usage_error = |message: String| exit::Error::Usage(format!("--set {text}: {message}"));
    let (key, value) = text
        .split_once('=')
        .ok_or_else(|| usage_error("expected KEY=VALUE".to_owned()))?;
    let header = format!("world none\nset {key} {value}\n");
    let script = scenario::parse(&header).map_err(|err| usage_error(err.message))?;
    let mut settings = script.settings.into_iter();
    let setting = settings
        .next()
        .ok_or_else(|| usage_error("the setting is empty".to_owned()))?;
    Ok(scenario::Setting { line: 0, ..setting })
}

fn report_json(report: &scenario::Report) -> serde_json::Value {
    let lines = report.lines.iter();
    let lines = lines.map(|line| serde_json::json!({"at_us": line.at.0, "text": line.text}));
    let failures = report.failures.iter().map(|failure| {
        serde_json::json!({
            "line": failure.line,
            "at_us": failure.at.0,
            "check": failure.check,
            "reason": failure.reason,
        })
    });
    serde_json::json!({
        "world": report.world,
        "seed": report.seed,
        "passed": report.passed(),
        "checks": report.checks,
        "end_us": report.end.0,
        "failures": failures.collect::<Vec<_>>(),
        "lines": lines.collect::<Vec<_>>(),
    })
}
