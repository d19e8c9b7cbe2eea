//! Generates the message types of `wagtailshunt-wire` from `wire/proto`.
//!
//! Without arguments the committed files are rewritten; with `--check` they are compared with the
//! schema and a difference is an error.

use std::{error, fs, path, process};

const SCHEMAS: [&str; 7] = [
    "containment.proto",
    "envelope.proto",
    "fleet.proto",
    "ledger.proto",
    "membership.proto",
    "records.proto",
    "replication.proto",
];

fn main() -> process::ExitCode {
    let check = std::env::args().any(|arg| arg == "--check");
    match run(check) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(err) => {
            eprintln!("codegen: {err}");
            process::ExitCode::FAILURE
        }
    }
}

/// Returns whether the committed files match the schema after the run.
fn run(check: bool) -> Result<bool, Box<dyn error::Error>> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let committed = root.join("src/generated");
    let fresh = std::env::temp_dir().join(format!("wagtailshunt-codegen-{}", process::id()));
    fs::create_dir_all(&fresh)?;
    generate(&root.join("proto"), &fresh)?;
    let same = if check {
        compare(&fresh, &committed)?
    } else {
        replace(&fresh, &committed)?
    };
    fs::remove_dir_all(&fresh)?;
    Ok(same)
}

fn generate(proto: &path::Path, out: &path::Path) -> Result<(), Box<dyn error::Error>> {
    let set = protox::compile(SCHEMAS, [proto])?;
    prost_build::Config::new()
        .bytes(["."])
        .btree_map(["."])
        .out_dir(out)
        .compile_fds(set)?;
    Ok(())
}

fn compare(fresh: &path::Path, committed: &path::Path) -> Result<bool, Box<dyn error::Error>> {
    let mut same = true;
    for entry in fs::read_dir(fresh)? {
        let entry = entry?;
        let old = fs::read(committed.join(entry.file_name())).unwrap_or_default();
        if old != fs::read(entry.path())? {
            eprintln!(
                "codegen: {} differs from its schema",
                entry.file_name().display()
            );
            same = false;
        }
    }
    Ok(same)
}

fn replace(fresh: &path::Path, committed: &path::Path) -> Result<bool, Box<dyn error::Error>> {
    fs::create_dir_all(committed)?;
    for entry in fs::read_dir(fresh)? {
        let entry = entry?;
        fs::copy(entry.path(), committed.join(entry.file_name()))?;
    }
    Ok(true)
}
