//! The platform hands the settings over as nested JSON; the decisions know them as a plain map of paths to values.

use ravenspar_steward::Settings;
use serde_json::Value;

/// Paths with dots; a list of plain values with commas, a list of objects as its length under `.count` and its items
/// under `.0`, `.1` and so on; a space or comma within a value as `_`.
pub fn flatten(settings: &Value) -> Settings {
    let mut flat = Settings::default();
    walk(&mut flat, "", settings);
    flat
}

fn walk(flat: &mut Settings, path: &str, value: &Value) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| walk(flat, &below(name), value)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flat.set(&below("count"), &items.len().to_string());
            items.iter().enumerate().for_each(|(i, item)| walk(flat, &below(&i.to_string()), item));
        }
        Value::Array(items) => flat.set(path, &items.iter().map(plain).collect::<Vec<_>>().join(",")),
        Value::Null => {}
        value => flat.set(path, &plain(value)),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        value => value.to_string(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nested_settings_become_the_paths_of_the_simulators_first_message() {
        let nested = serde_json::json!({
            "family_info": {"ranges": 110, "mutating": [false, true], "write_lease_s": 4.0},
            "classes": [{"name": "quote x"}, {"name": "commit", "aim_s": 3.0}],
            "report": {"names": ["cpu_share"], "source": "answers"}, "empty": [], "absent": null,
        });
        let flat = flatten(&nested);
        for (path, value) in [
            ("family_info.ranges", "110"),
            ("family_info.mutating", "false,true"),
            ("family_info.write_lease_s", "4.0"),
            ("classes.count", "2"),
            ("classes.0.name", "quote_x"),
            ("classes.1.aim_s", "3.0"),
            ("report.names", "cpu_share"),
            ("empty", ""),
        ] {
            assert_eq!(flat.text(path), Some(value), "{path}");
        }
        assert_eq!(flat.text("absent"), None);
    }
}
