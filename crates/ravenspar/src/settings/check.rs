//! Checks a settings file against the table, and fills the map.

use ravenspar_steward::Settings;

use super::table::{SettingSpec, ValueType, KIND_SETTINGS};
use crate::yaml::{self, Node, SpannedNode};

/// Collects the errors and the values of a file.
pub(super) struct Checker {
    /// Line, column and message.
    pub(super) errors: Vec<(u64, u64, String)>,
    pub(super) map: Settings,
    /// Paths and values of settings that are not in the map.
    pub(super) program_values: Vec<(String, String)>,
}

impl Checker {
    fn error(&mut self, at: &SpannedNode, what: String) {
        self.errors.push((at.line, at.column, what));
    }

    /// Checks a map and the maps in it against the settings whose paths begin with `prefix`. `index` replaces `{}` in map
    /// names; `extra_keys` are allowed beside the table.
    pub(super) fn map(
        &mut self,
        at: &SpannedNode,
        prefix: &str,
        table: &[SettingSpec],
        index: &str,
        extra_keys: &[&str],
    ) {
        let Node::Map(entries) = &at.node else {
            return self.error(at, format!("{}: expected a map of settings", section_name(prefix)));
        };
        let mut seen: Vec<&str> = Vec::new();
        for (key, value) in entries {
            let Node::Text(name) = &key.node else {
                self.error(key, format!("{}: expected the name of a setting", section_name(prefix)));
                continue;
            };
            if seen.contains(&name.as_str()) {
                self.error(key, format!("{prefix}{name}: duplicate setting"));
            }
            seen.push(name);
            let path = format!("{prefix}{name}");
            if let Some(entry) = table.iter().find(|entry| entry.path == path) {
                self.value(value, entry, index);
            } else if table.iter().any(|entry| entry.path.starts_with(&format!("{path}."))) {
                self.map(value, &format!("{path}."), table, index, &[]);
            } else if path == "share.notes" {
                let what =
                    "gone, hints travel with the view of the fleet: expected fleet.listen and fleet.key";
                self.error(key, format!("{path}: {what}"));
            } else if !extra_keys.contains(&name.as_str()) {
                let known = known_names(table, prefix, extra_keys);
                self.error(key, format!("{path}: unknown setting, expected one of {known}"));
            }
        }
        for entry in table.iter().filter(|entry| entry.path.starts_with(prefix)) {
            let rest = &entry.path[prefix.len()..];
            if seen.contains(&rest.split('.').next().unwrap_or(rest)) {
                continue; // checked above
            }
            match entry.default {
                Some(text) => {
                    let value = parse_value(entry.value_type, text).unwrap_or_default();
                    self.set(entry, &value, index);
                }
                None => self
                    .error(at, format!("{}: missing, expected {}", entry.path, expected(entry.value_type))),
            }
        }
    }

    /// Checks one value and stores it.
    fn value(&mut self, at: &SpannedNode, entry: &SettingSpec, index: &str) {
        let list;
        let text = match &at.node {
            Node::Text(text) => text.as_str(),
            Node::List(all) if matches!(entry.value_type, ValueType::Texts | ValueType::Addresses) => {
                let texts: Option<Vec<&str>> = all
                    .iter()
                    .map(|one| match &one.node {
                        Node::Text(text) => Some(text.as_str()),
                        _ => None,
                    })
                    .collect();
                let Some(texts) = texts else {
                    return self
                        .error(at, format!("{}: expected {}", entry.path, expected(entry.value_type)));
                };
                if matches!(entry.value_type, ValueType::Addresses) {
                    // Each error gets the position of its address.
                    for (one, text) in all.iter().zip(&texts).filter(|(_, text)| !is_address(text)) {
                        let what =
                            format!("{}: {text}: expected {}", entry.path, expected(ValueType::Address));
                        self.error(one, what);
                    }
                    return self.set(entry, &texts.join("\n"), index);
                }
                list = texts.join("\n");
                &list
            }
            _ => return self.error(at, format!("{}: expected {}", entry.path, expected(entry.value_type))),
        };
        match parse_value(entry.value_type, text) {
            Some(value) => self.set(entry, &value, index),
            None => {
                self.error(at, format!("{}: {text}: expected {}", entry.path, expected(entry.value_type)))
            }
        }
    }

    /// Stores a value in the map or among the program's own.
    fn set(&mut self, entry: &SettingSpec, value: &str, index: &str) {
        match entry.map_name {
            Some(map_name) => self.map.set(&map_name.replace("{}", index), value),
            None => self.program_values.push((format!("{}{index}", entry.path), value.to_owned())),
        }
    }

    /// Checks the list of request kinds, and sets what follows from it in the map.
    pub(super) fn kinds(&mut self, tree: &SpannedNode) {
        /// The number of bits in the masks of the decisions.
        const MAX_KINDS: usize = 32;
        let Node::Map(entries) = &tree.node else { return };
        let kinds = entries.iter().find(|(key, _)| matches!(&key.node, Node::Text(name) if name == "kinds"));
        let Some((_, kinds)) = kinds else {
            return self.error(tree, "kinds: missing, expected a list of request kinds".to_owned());
        };
        let list = match &kinds.node {
            Node::List(list) if (1..=MAX_KINDS).contains(&list.len()) => list,
            _ => {
                return self.error(kinds, format!("kinds: expected a list of 1 to {MAX_KINDS} request kinds"))
            }
        };
        for (k, kind) in list.iter().enumerate() {
            self.map(kind, "", KIND_SETTINGS, &k.to_string(), &[]);
        }
        let writes = |k: usize| {
            self.program_values.iter().any(|(path, value)| *path == format!("writes{k}") && value == "true")
        };
        let flags: Vec<String> = (0..list.len()).map(|k| writes(k).to_string()).collect();
        self.map.set("classes.count", &list.len().to_string());
        self.map.set("family_info.mutating", &flags.join(","));
        self.map.set("family_info.single_writer", "true");
        // The list source reports changes unasked.
        self.map.set("discovery", "pushed");
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<std::net::SocketAddr>().is_ok_and(|at| at.port() > 0)
}

/// Converts a text to the map's value, or returns `None` if it is not of the type.
fn parse_value(value_type: ValueType, text: &str) -> Option<String> {
    let number = |low: f64, high: f64| {
        let number = text.parse::<f64>().ok().filter(|n| n.is_finite() && (low..=high).contains(n));
        number.map(|_| text.to_owned())
    };
    match value_type {
        // The resolution of `Time` is 0.1 ms.
        ValueType::Time => {
            yaml::parse_seconds(text).filter(|time| *time >= 0.0001).map(|time| time.to_string())
        }
        ValueType::Count(low, high) => number(low, high).filter(|text| text.parse::<u64>().is_ok()),
        ValueType::Number(low, high) => number(low, high),
        ValueType::Flag => Some(text.to_owned()).filter(|text| text == "true" || text == "false"),
        ValueType::Address => Some(text.to_owned()).filter(|text| is_address(text)),
        // A single address without a list.
        ValueType::Addresses => Some(text.to_owned()).filter(|text| is_address(text)),
        ValueType::Text | ValueType::Texts => Some(text.to_owned()).filter(|text| !text.is_empty()),
        ValueType::Choice(choices) => {
            choices.iter().find(|(choice, _)| *choice == text).map(|(_, value)| (*value).to_owned())
        }
    }
}

/// The name of a section in messages.
fn section_name(prefix: &str) -> &str {
    if prefix.is_empty() {
        "the file"
    } else {
        prefix.trim_end_matches('.')
    }
}

/// The settings that a section may have, for messages.
fn known_names(table: &[SettingSpec], prefix: &str, extra_keys: &[&str]) -> String {
    let mut known_names: Vec<&str> = Vec::new();
    for entry in table.iter().filter_map(|entry| entry.path.strip_prefix(prefix)) {
        let first = entry.split('.').next().unwrap_or(entry);
        if !known_names.contains(&first) {
            known_names.push(first);
        }
    }
    known_names.extend(extra_keys);
    known_names.join(", ")
}

/// A description of the type, for messages.
fn expected(value_type: ValueType) -> String {
    match value_type {
        ValueType::Time => "a time with its unit, as 4s or 250ms".to_owned(),
        ValueType::Count(low, high) => format!("a whole number from {low} to {high}"),
        ValueType::Number(low, high) => format!("a number from {low} to {high}"),
        ValueType::Flag => "true or false".to_owned(),
        ValueType::Text => "a text".to_owned(),
        ValueType::Texts => "a list of texts".to_owned(),
        ValueType::Address => "an address and a port, as 127.0.0.1:7946".to_owned(),
        ValueType::Addresses => "a list of addresses and ports, as 127.0.0.1:7946".to_owned(),
        ValueType::Choice(choices) => {
            format!("one of {}", choices.iter().map(|(choice, _)| *choice).collect::<Vec<_>>().join(", "))
        }
    }
}
