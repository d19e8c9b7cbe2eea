//! Consistency of the documentation tables with the definitions in the code.

use std::{collections, fs, path};

use wagtailshunt_core::{event, outcome};

/// Returns the cells of all table rows of a documentation page.
fn rows(page: &str) -> Vec<Vec<String>> {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    let text = fs::read_to_string(folder.join(page)).expect("page");
    let rows = text.lines().filter(|line| line.starts_with("| "));
    let cells = |line: &str| {
        let cells = line.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().to_owned()).collect()
    };
    rows.map(cells).collect()
}

/// Guards against undocumented events, and documented events that do not exist or differ.
#[test]
fn documented_events_match_catalogue() {
    let rows = rows("events.md");
    let documented: Vec<_> = rows
        .iter()
        .filter_map(|cells| Some((cells[0].parse::<u16>().ok()?, cells)))
        .collect();
    let numbers: Vec<u16> = documented.iter().map(|(number, _)| *number).collect();
    let catalogue: Vec<u16> = event::CATALOGUE
        .iter()
        .map(|entry| entry.id.number())
        .collect();
    assert_eq!(numbers, catalogue);
    for ((number, cells), entry) in documented.iter().zip(event::CATALOGUE) {
        assert_eq!(cells.len(), 5, "event {number}");
        assert_eq!(cells[1], entry.level.to_string(), "event {number}");
        assert_eq!(cells[2], entry.text, "event {number}");
        assert!(
            !cells[3].is_empty() && !cells[4].is_empty(),
            "event {number}"
        );
    }
    let unique: collections::BTreeSet<_> = catalogue.iter().collect();
    assert_eq!(
        unique.len(),
        catalogue.len(),
        "an event number is used twice"
    );
}

/// Guards against undocumented problem types, and documented ones with another status or title.
#[test]
fn documented_problem_types_match_code() {
    let rows = rows("protocol.md");
    let documented: Vec<(String, String, String)> = rows
        .iter()
        .filter(|cells| cells.len() == 3 && cells[1].parse::<u16>().is_ok())
        .map(|cells| (cells[0].clone(), cells[1].clone(), cells[2].clone()))
        .collect();
    let defined: Vec<(String, String, String)> = outcome::Reason::ALL
        .iter()
        .map(|reason| {
            let name = reason
                .type_uri()
                .trim_start_matches("urn:wagtailshunt:problem:");
            (
                format!("`{name}`"),
                reason.status().to_string(),
                reason.title().to_owned(),
            )
        })
        .collect();
    assert_eq!(documented, defined);
}
