//! Runs every script `scenarios/*.scn`, also repeated and with each covered mechanism switched off.

use std::{fs, path};

use wagtailshunt_lab::{scenario, worlds};

fn run(script: &scenario::Script, options: &scenario::Options) -> scenario::Report {
    let mut world = worlds::create(&script.world).expect("world exists");
    scenario::run(script, options, world.as_mut()).expect("script runs")
}

fn files() -> Vec<path::PathBuf> {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios");
    let entries = fs::read_dir(folder).expect("scenarios folder");
    let mut files: Vec<_> = entries.map(|entry| entry.expect("entry").path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "scn"));
    files.sort();
    files
}

fn load(file: &path::Path) -> scenario::Script {
    let text = fs::read_to_string(file).expect("readable");
    scenario::parse(&text).unwrap_or_else(|err| panic!("{}: {err}", file.display()))
}

/// Guards against violations of the invariants that each script checks.
#[test]
fn scripts_pass() {
    for file in files() {
        let report = run(&load(&file), &scenario::Options::default());
        assert!(report.passed(), "{}\n{report}", file.display());
    }
}

/// Guards against output that depends on anything other than script and seed.
#[test]
fn scripts_are_deterministic() {
    for file in files() {
        let script = load(&file);
        let first = run(&script, &scenario::Options::default()).to_string();
        let second = run(&script, &scenario::Options::default()).to_string();
        assert!(first == second, "{}: two runs differ", file.display());
    }
}

/// Guards against scripts whose checks pass although the mechanism that they cover is off.
#[test]
fn scripts_fail_without_their_mechanism() {
    for file in files() {
        let script = load(&file);
        for mutation in &script.mutations {
            let options = scenario::Options {
                settings: vec![mutation.clone()],
                ..Default::default()
            };
            let report = run(&script, &options);
            let scenario::Setting { key, value, .. } = mutation;
            assert!(
                !report.passed(),
                "{} passes with {key} set to {value}",
                file.display()
            );
        }
    }
}
