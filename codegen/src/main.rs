//! Generates the message types of `wagtailshunt-wire` from the schemas in `wire/proto`.
//!
//! Without arguments, overwrites the committed files in `wire/src/generated`. With `--check`,
//! compares them with newly generated files and exits with an error if they differ.

use std::{error, fs, path, process};

const SCHEMA_FILES: [&str; 7] = [
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

/// Generates the files, then compares them with the committed ones or overwrites these. Returns
/// whether the committed files match the schemas afterwards.
fn run(check: bool) -> Result<bool, Box<dyn error::Error>> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let committed = root.join("src/generated");
    let generated = std::env::temp_dir().join(format!("wagtailshunt-codegen-{}", process::id()));
    fs::create_dir_all(&generated)?;
    generate(&root.join("proto"), &generated)?;
    let matches = if check {
        compare(&generated, &committed)?
    } else {
        overwrite(&generated, &committed)?
    };
    fs::remove_dir_all(&generated)?;
    Ok(matches)
}

fn generate(schema_dir: &path::Path, out_dir: &path::Path) -> Result<(), Box<dyn error::Error>> {
    let descriptors = protox::compile(SCHEMA_FILES, [schema_dir])?;
    prost_build::Config::new()
        .bytes(["."])
        .btree_map(["."])
        .out_dir(out_dir)
        .compile_fds(descriptors)?;
    Ok(())
}

fn compare(generated: &path::Path, committed: &path::Path) -> Result<bool, Box<dyn error::Error>> {
    let mut matches = true;
    for entry in fs::read_dir(generated)? {
        let entry = entry?;
        let committed_text = fs::read(committed.join(entry.file_name())).unwrap_or_default();
        if committed_text != fs::read(entry.path())? {
            eprintln!(
                "codegen: {} differs from its schema; run codegen without --check",
                entry.file_name().display()
            );
            matches = false;
        }
    }
    Ok(matches)
}

fn overwrite(
    generated: &path::Path,
    committed: &path::Path,
) -> Result<bool, Box<dyn error::Error>> {
    fs::create_dir_all(committed)?;
    for entry in fs::read_dir(generated)? {
        let entry = entry?;
        fs::copy(entry.path(), committed.join(entry.file_name()))?;
    }
    Ok(true)
}
