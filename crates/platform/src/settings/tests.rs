use serde_json::json;

use super::*;

#[test]
fn nested_settings_are_flattened_to_the_simulators_paths() {
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

fn valid() -> Value {
    json!({
        "azs": ["São Luís", "belém, doca 2", "belém__doca_2"],
        "classes": [{"name": "crédito já"}, {"name": "crédito_já", "worth": 2}, {"name": "7", "aim_s": null}],
        "family_info": {"ranges": 4, "mutating": [true, false, false], "single_writer": true},
    })
}

#[test]
fn names_that_flatten_alike_stay_distinct() {
    let names = names(&valid()).expect("valid settings");
    assert_eq!(names.classes, ["crédito já", "crédito_já", "7"]);
    assert_eq!(names.zones, ["São Luís", "belém, doca 2", "belém__doca_2"]);
}

#[test]
fn absent_settings_are_accepted_and_errors_name_invalid_ones() {
    for (path, value) in [
        ("/azs", json!("a,b")),
        ("/azs", json!(["a", 7])),
        ("/azs", json!(["a", "a"])),
        ("/classes", json!({"name": "x"})),
        ("/classes", json!(["x", "y", "z"])),
        ("/classes/0/name", json!(7)),
        ("/classes/0/name", json!("")),
        ("/classes/1/worth", json!("2")),
        ("/classes/1/worth", json!(-1)),
        ("/family_info/mutating", json!("true,false,false")),
        ("/family_info/mutating", json!([true, false])),
        ("/family_info/mutating", json!([true, false, false, true])),
        ("/family_info/mutating", json!([1, 0, 0])),
        ("/family_info/ranges", json!("4")),
        ("/family_info/ranges", json!(-4)),
        ("/family_info/single_writer", json!("true")),
    ] {
        let mut settings = valid();
        *settings.pointer_mut(path).expect("the setting is there") = value.clone();
        let error = names(&settings).expect_err(&format!("{path}: {value}"));
        let start = format!("settings.{}", path[1..].replace('/', "."));
        assert!(error.starts_with(&start) && error.contains("expected"), "{path}: {error}");
        *settings.pointer_mut(path).expect("the setting is there") = Value::Null;
        let named = path.ends_with("/name");
        assert_eq!(names(&settings).is_ok(), !named && path != "/classes", "{path}: null");
    }
    let many: Vec<Value> = (0..33).map(|n| json!({"name": n.to_string()})).collect();
    assert!(names(&json!({"classes": many[..32]})).is_ok());
    assert!(names(&json!({"classes": many})).is_err(), "one could not be closed to writes");
    let twice = json!({"classes": [{"name": "x"}, {"name": "x"}]});
    assert!(names(&twice).expect_err("one name").starts_with("settings.classes.1: expected another name"));
}
