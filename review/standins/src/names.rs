//! Names of the platform's wire, from a data file, and the templates that contain some of them.

const NAMES: &str = include_str!("../names.txt");
pub const SETTINGS: &str = include_str!("../settings.txt");
pub const CONFIGURATION: &str = include_str!("../configuration.json");
pub const HEARTBEAT: &str = include_str!("../heartbeat.json");

/// Returns the value of a name.
pub fn get(key: &str) -> &'static str {
    let mut pairs = NAMES.lines().filter_map(|line| line.split_once('='));
    let found = pairs.find(|(name, _)| *name == key);
    found.unwrap_or_else(|| panic!("unknown name {key}")).1
}

/// Replaces `{name}` in a template by values.
pub fn fill(template: &str, values: &[(&str, &str)]) -> String {
    let fill_one =
        |text: String, (name, value): &(&str, &str)| text.replace(&format!("{{{name}}}"), value);
    values.iter().fold(template.to_owned(), fill_one)
}
