//! Command `status`.

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
    let answer = client.send(&api::Request::get(path)).await?.success()?;
    if global.json {
        println!("{}", answer.text);
    } else {
        print(&answer.json(), 0);
    }
    Ok(exit::Code::Ok)
}

/// Prints JSON as indented text; lists of flat objects take one line for each object.
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
                        items.iter().for_each(|item| print_item(item, depth + 1));
                    }
                    _ => println!("{indent}{name}: {}", plain(value)),
                }
            }
        }
        _ => println!("{indent}{}", plain(value)),
    }
}

fn print_item(item: &Value, depth: usize) {
    let indent = "  ".repeat(depth);
    let Value::Object(fields) = item else {
        println!("{indent}{}", plain(item));
        return;
    };
    let fields = fields
        .iter()
        .map(|(name, value)| format!("{name}={}", plain(value)));
    println!("{indent}{}", fields.collect::<Vec<_>>().join(" "));
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(","),
        _ => value.to_string(),
    }
}
