//! Command `status`: fetches the status of the cluster or of one control VM and prints it.

use serde_json::Value;

use crate::{api, exit, options};

/// Runs `status`.
pub async fn run(
    global: &options::Program,
    opts: &options::Status,
) -> Result<exit::Code, exit::Error> {
    let client = api::Client::new(global)?;
    let path = if opts.local {
        "/v1/local"
    } else {
        "/v1/status"
    };
    let response = client
        .send(&api::Request::get(path))
        .await?
        .error_for_status()?;
    if global.json {
        println!("{}", response.text);
    } else {
        print(&response.json(), 0);
    }
    Ok(exit::Code::Ok)
}

/// Prints JSON as indented text. Each object in a list takes one line.
fn print(value: &Value, depth: usize) {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                match value {
                    Value::Object(_) => {
                        println!("{indent}{name}:");
                        print(value, depth + 1);
                    }
                    Value::Array(items) if items.iter().any(Value::is_object) => {
                        println!("{indent}{name}:");
                        items
                            .iter()
                            .for_each(|item| print_list_item(item, depth + 1));
                    }
                    _ => println!("{indent}{name}: {}", format_value(value)),
                }
            }
        }
        _ => println!("{indent}{}", format_value(value)),
    }
}

fn print_list_item(item: &Value, depth: usize) {
    let indent = "  ".repeat(depth);
    let Value::Object(fields) = item else {
        println!("{indent}{}", format_value(item));
        return;
    };
    let fields = fields
        .iter()
        .map(|(name, value)| format!("{name}={}", format_value(value)));
    println!("{indent}{}", fields.collect::<Vec<_>>().join(" "));
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Array(items) => items.iter().map(format_value).collect::<Vec<_>>().join(","),
        _ => value.to_string(),
    }
}
