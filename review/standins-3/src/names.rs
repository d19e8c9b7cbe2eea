//! Names of the platform's wire, kept in data files beside the sources.

const NAMES: &str = include_str!("../names.txt");

/// Template of a settings file.
pub const SETTINGS: &str = include_str!("../settings.txt");

/// Template of the desired state.
pub const CONFIGURATION: &str = include_str!("../configuration.json");

/// Template of an announcement of a target.
pub const ANNOUNCEMENT: &str = include_str!("../announcement.json");

/// Returns the name on the wire for a key of `names.txt`.
pub fn name(key: &str) -> &'static str {
    NAMES
        .lines()
        .filter_map(|line| line.split_once('='))
        .find(|(known, _)| *known == key)
        .map_or_else(|| panic!("no name for {key}"), |(_, name)| name)
}

/// Replaces `{key}` in a template.
pub fn fill(template: &str, values: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    for (key, value) in values {
        text = text.replace(&format!("{{{key}}}"), value);
    }
    text
}
