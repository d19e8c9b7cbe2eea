//! Names and messages of the platform, read from the text files beside the sources.

const NAMES: &str = include_str!("../wire.txt");
const SETTINGS: &str = include_str!("../settings.txt");
const CONFIGURATION: &str = include_str!("../configuration.txt");
const BEAT: &str = include_str!("../beat.txt");
const BEAT_OF_ANOTHER_SERVICE: &str = include_str!("../beat-service.txt");
const BEAT_WITHOUT_FIELDS: &str = include_str!("../beat-incomplete.txt");
const BEAT_OF_ANOTHER_WRITER: &str = include_str!("../beat-other.txt");

/// Returns a header, path or variable by the name that the stand-ins use for it.
pub fn name(key: &str) -> &'static str {
    let mut pairs = NAMES.lines().filter_map(|line| line.split_once('='));
    pairs
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value)
        .expect("a name of wire.txt")
}

fn fill(template: &str, values: &[(&str, &str)]) -> String {
    let mut text = template.trim_end().to_owned();
    for (key, value) in values {
        text = text.replace(&format!("{{{key}}}"), value);
    }
    text
}

pub fn settings(values: &[(&str, &str)]) -> String {
    fill(SETTINGS, values) + "\n"
}

pub fn configuration() -> String {
    fill(CONFIGURATION, &[])
}

pub fn beat(values: &[(&str, &str)]) -> String {
    fill(BEAT, values)
}

pub fn beat_of_another_writer(values: &[(&str, &str)]) -> String {
    fill(BEAT_OF_ANOTHER_WRITER, values)
}

pub fn beat_of_another_service(values: &[(&str, &str)]) -> String {
    fill(BEAT_OF_ANOTHER_SERVICE, values)
}

pub fn beat_without_fields(values: &[(&str, &str)]) -> String {
    fill(BEAT_WITHOUT_FIELDS, values)
}
