//! Validation and flattening of the settings: the platform sends nested JSON, the decisions take a flat map of paths
//! to values.
//!
//! Names of classes and zones are not read from the flat map, in which two distinct names may become the same:
//! reports and orders use them as they are in the settings.

use ravenspar_steward::Settings;
use serde_json::Value;

/// Flattens nested settings: path segments are joined by dots, a list of plain values by commas. A list of objects
/// becomes its length under `.count` and its items under `.0`, `.1` and so on. A space or comma within a value
/// becomes `_`.
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

/// The number of classes that the decisions can tell apart. One more could not be closed to writes.
const MAX_CLASSES: usize = 32;

/// Numeric settings that the decisions read. One that is absent or null has the default of `docs/guide/platform.md`.
/// One of another type would silently get the default too, and its limit would not be enforced.
const NUMBERS: [&str; 19] = [
    "/balancers",
    "/family_info/channel_rate",
    "/family_info/conns_least",
    "/family_info/cycle_s",
    "/family_info/fixed_cost",
    "/family_info/pending_max",
    "/family_info/proxy_count",
    "/family_info/pushes_allowed",
    "/family_info/ranges",
    "/family_info/settle_s",
    "/family_info/update_window_s",
    "/family_info/write_lease_s",
    "/limits/idle_close_s",
    "/safety/ask_within_s",
    "/safety/cold_from",
    "/safety/cold_s",
    "/safety/drain_grace_s",
    "/safety/fall_multiple",
    "/safety/fall_s",
];

const FLAGS: [&str; 2] = ["/family_info/single_writer", "/safety/only_draining_binds"];

/// The names used in reports and orders, in the settings' order.
#[derive(Debug, PartialEq)]
pub struct Names {
    pub classes: Vec<String>,
    pub zones: Vec<String>,
}

fn invalid<T>(path: &str, expected: &str) -> Result<T, String> {
    Err(format!("settings.{}: expected {expected}", path.trim_start_matches('/').replace('/', ".")))
}

/// Returns the items of a list, or an empty slice if it is absent.
fn list<'a>(settings: &'a Value, path: &str, expected: &str) -> Result<&'a [Value], String> {
    match settings.pointer(path) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(items)) => Ok(items),
        Some(_) => invalid(path, expected),
    }
}

fn distinct(path: &str, names: &[String]) -> Result<(), String> {
    match names.iter().enumerate().find(|(n, name)| names[..*n].contains(name)) {
        Some((n, name)) => {
            invalid(&format!("{path}/{n}"), &format!("another name than {name:?}, which is taken"))
        }
        None => Ok(()),
    }
}

fn number_or_none(value: Option<&Value>) -> bool {
    value.is_none_or(|value| value.is_null() || value.as_f64().is_some_and(|number| number >= 0.0))
}

/// Returns the names. Fails with the first setting that the decisions would misread, and what was expected of it.
pub fn names(settings: &Value) -> Result<Names, String> {
    if let Some(path) = NUMBERS.iter().find(|path| !number_or_none(settings.pointer(path))) {
        return invalid(path, "a number from 0 on");
    }
    let flag =
        |path: &&&str| settings.pointer(path).is_none_or(|value| value.is_null() || value.is_boolean());
    if let Some(path) = FLAGS.iter().find(|path| !flag(path)) {
        return invalid(path, "true or false");
    }
    let mut classes = Vec::new();
    for (n, class) in list(settings, "/classes", "a list of objects")?.iter().enumerate() {
        let Some(name) = class["name"].as_str().filter(|name| !name.is_empty()) else {
            return invalid(&format!("/classes/{n}/name"), "a text");
        };
        if let Some(field) = ["aim_s", "worth"].iter().find(|field| !number_or_none(class.get(field))) {
            return invalid(&format!("/classes/{n}/{field}"), "a number from 0 on");
        }
        classes.push(name.to_owned());
    }
    if classes.len() > MAX_CLASSES {
        return invalid("/classes", &format!("at most {MAX_CLASSES}, and there are {}", classes.len()));
    }
    distinct("/classes", &classes)?;
    const MUTATING: &str = "/family_info/mutating";
    let writes = list(settings, MUTATING, "a list of true and false")?;
    if !writes.iter().all(Value::is_boolean) {
        return invalid(MUTATING, "a list of true and false");
    }
    // If absent, no class writes. A list of another length would give some class the flag of another.
    if !writes.is_empty() && writes.len() != classes.len() {
        return invalid(
            MUTATING,
            &format!("{} of them, one a class, and there are {}", classes.len(), writes.len()),
        );
    }
    let zones =
        list(settings, "/azs", "a list of texts")?.iter().map(|zone| zone.as_str().map(str::to_owned));
    let Some(zones) = zones.collect::<Option<Vec<String>>>() else {
        return invalid("/azs", "a list of texts");
    };
    distinct("/azs", &zones)?;
    Ok(Names { classes, zones })
}

#[cfg(test)]
mod tests;
