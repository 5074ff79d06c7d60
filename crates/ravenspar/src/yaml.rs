//! YAML as a tree with the position of every value, so that all errors of a file can be reported at once.

use std::fmt;
use std::path::{Path, PathBuf};

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

/// A value with its line and column, counted from 1.
#[derive(Clone, Debug)]
pub struct SpannedNode {
    pub line: u64,
    pub column: u64,
    pub node: Node,
}

/// A YAML value.
#[derive(Clone, Debug)]
pub enum Node {
    Empty,
    /// Any scalar, as text.
    Text(String),
    List(Vec<SpannedNode>),
    Map(Vec<(SpannedNode, SpannedNode)>),
}

impl<'de> Deserialize<'de> for SpannedNode {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<SpannedNode, D::Error> {
        let spanned = Spanned::<Node>::deserialize(from)?;
        let (line, column) = (spanned.referenced.line(), spanned.referenced.column());
        Ok(SpannedNode { line, column, node: spanned.value })
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a value, a list or a map")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Text(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Text(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Text(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Text(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Text(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Empty)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Empty)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut list = Vec::new();
        while let Some(element) = seq.next_element()? {
            list.push(element);
        }
        Ok(Node::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Node::Map(entries))
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Node, D::Error> {
        from.deserialize_any(NodeVisitor)
    }
}

/// All errors of a file.
#[derive(Debug)]
pub struct ParseErrors {
    pub path: PathBuf,
    /// Line, column, and what was expected there.
    pub errors: Vec<(u64, u64, String)>,
}

impl fmt::Display for ParseErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (i, (line, column, what)) in self.errors.iter().enumerate() {
            let end = if i + 1 < self.errors.len() { "\n" } else { "" };
            write!(f, "{}:{line}:{column}: {what}{end}", self.path.display())?;
        }
        Ok(())
    }
}

impl std::error::Error for ParseErrors {}

/// Reads a file into a tree.
pub fn read(path: &Path) -> Result<SpannedNode, ParseErrors> {
    let parse_error = |line, column, what: String| ParseErrors {
        path: path.to_owned(),
        errors: vec![(line, column, what)],
    };
    let text = std::fs::read_to_string(path).map_err(|e| parse_error(1, 1, format!("can't be read: {e}")))?;
    serde_saphyr::from_str(&text).map_err(|error| {
        let position = error.location().map_or((1, 1), |location| (location.line(), location.column()));
        let what = error.without_snippet().to_string();
        let what = what.lines().next().unwrap_or("not YAML").to_owned();
        parse_error(position.0, position.1, format!("not YAML: {what}"))
    })
}

/// Parses a time with its unit, such as `4s`, `250ms` or `2m`. Returns seconds.
pub fn parse_seconds(text: &str) -> Option<f64> {
    let split = text.find(|c: char| c.is_ascii_alphabetic())?;
    let unit = match &text[split..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    let number: f64 = text[..split].trim().parse().ok()?;
    Some(number * unit).filter(|time| time.is_finite() && *time >= 0.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_need_a_unit() {
        assert_eq!(parse_seconds("250ms"), Some(0.25));
        assert_eq!(parse_seconds("4s"), Some(4.0));
        assert_eq!(parse_seconds("1.5 s"), Some(1.5));
        for bad in ["4", "s", "-4s", "4 parsecs", "", "nan s"] {
            assert_eq!(parse_seconds(bad), None, "{bad}");
        }
    }
}
