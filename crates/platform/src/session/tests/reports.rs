//! Reports with the names of the settings, and arbitrary input.

use super::*;

#[test]
fn reports_and_levels_use_the_names_of_the_settings() {
    let mut named = settings(1, 1);
    named["classes"] = json!([{"name": "saldo, visão"}, {"name": "crédito já"}, {"name": "crédito_já"}]);
    named["family_info"]["mutating"] = json!([false, true, false]);
    named["azs"] = json!(["São Luís", "belém, doca 2"]);
    let known = list(1, true, &[host("A", "active", 0), host("B", "active", 0)]);
    let session = Session::new(START, 7, &named, &known).expect("valid settings");
    assert_eq!(session.zones(), ["São Luís", "belém, doca 2"]);
    let mut harness = Harness { session, now: START, call: None, live: false };
    harness.subscribe(&[0], &[Some("A")]);
    for name in ["saldo, visão", "crédito já", "crédito_já"] {
        let mut report = shard();
        report["lane"] = json!(name);
        assert_eq!(harness.session.handle_report(harness.now, &report), Ok(()), "{name}");
    }
    harness.run(10 * SECOND);
    // A answers all its reqs late; they are of one class.
    let late = json!({"msg": "LOAD", "site": "São Luís", "target": "A", "count": 100, "fail": 0, "mean": 5000.0, "over": 500.0});
    let demand =
        json!({"msg": "SHARD", "range": 0, "lane": "crédito já", "count": 200, "fail": 0, "over": 500.0});
    let mut orders = Vec::new();
    for _ in 0..12 {
        harness.session.handle_report(harness.now, &late).expect("a valid report");
        harness.session.handle_report(harness.now, &demand).expect("a valid report");
        orders.extend(harness.run(SECOND / 2));
    }
    let level = orders.iter().find(|order| order["verb"] == "admit").expect("a level");
    assert_eq!(
        (&level["cluster"], &level["routes"]),
        (&json!(0), &json!(["crédito já"])),
        "the class by its name"
    );
    assert!(level["admit"].as_f64().is_some_and(|share| share < 1.0), "{level}");
}

fn load() -> Value {
    json!({"msg": "LOAD", "site": "a", "target": "A", "count": 4, "fail": 1, "mean": 41.7, "over": 1000.0,
        "util": {"cpu_share": 0.61}})
}

fn shard() -> Value {
    json!({"msg": "SHARD", "range": 0, "lane": "lookup", "count": 4, "fail": 5, "over": 1000.0})
}

#[test]
fn a_missing_or_invalid_field_drops_only_its_report() {
    let mut harness = Harness::new(1, 1);
    let bad =
        [Value::Null, json!(-1), json!("1"), json!([]), json!(1e300), json!("no such name"), json!(true)];
    for valid in [load(), shard()] {
        assert_eq!(harness.session.handle_report(harness.now, &valid), Ok(()));
        for field in valid.as_object().expect("an object").keys() {
            for value in &bad {
                let mut invalid = valid.clone();
                invalid[field] = value.clone();
                let absent = field == "util" && value.is_null();
                let done = harness.session.handle_report(harness.now, &invalid);
                assert_eq!(done.is_ok(), absent, "{invalid}");
            }
        }
    }
    for util in [json!({"cpu_share": -0.1}), json!({"cpu_share": "x"}), json!({"cpu_share": 61.0})] {
        let mut invalid = load();
        invalid["util"] = util;
        assert!(harness.session.handle_report(harness.now, &invalid).is_err(), "{invalid}");
    }
    let invalid = harness.session.metrics().invalid_messages;
    assert_eq!(invalid, (8 + 6) * bad.len() as u64 - 1 + 3);
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        prop_oneof!["a", "A", "B", "lookup", "LOAD", "SHARD", ".{0,6}"].prop_map(Value::from),
        (0u64..4).prop_map(Value::from),
    ];
    leaf.prop_recursive(2, 8, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("[a-z]{1,4}", inner, 0..4)
                .prop_map(|map| Value::from(serde_json::Map::from_iter(map))),
        ]
    })
}

proptest! {
    #[test]
    fn no_input_panics(
        fields in prop::collection::vec((0usize..16, any_json()), 0..8),
        methods in prop::collection::vec(0usize..7, 1..20),
        bytes in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        const NAMES: [&str; 16] = ["msg", "site", "target", "count", "fail", "mean", "over", "util", "range", "lane",
            "id", "seq", "flag", "rps", "generation", "instances"];
        const METHODS: [&str; 7] = ["SUBSCRIBE", "CLOSED", "ACK", "GRANT", "ROW", "ping", "other"];
        let mut harness = Harness::new(2, 2);
        let mut message = load();
        message.as_object_mut().expect("an object").extend(shard().as_object().expect("an object").clone());
        fields.into_iter().for_each(|(name, value)| message[NAMES[name]] = value);
        for method in methods {
            message["msg"] = if method % 2 == 0 { "LOAD".into() } else { message["msg"].clone() };
            let _ = harness.session.handle_report(harness.now, &message);
            let news = json!({"method": METHODS[method], "params": message});
            let _ = harness.session.handle_notification(harness.now, news.to_string().as_bytes());
            let _ = harness.session.handle_notification(harness.now, &bytes);
            let _ = harness.session.handle_list(harness.now, message.to_string().as_bytes(), false, harness.now);
            let _ = harness.session.handle_list(harness.now, &bytes, true, harness.now);
            let _ = crate::frames::decode(&bytes, true, harness.session.zones());
            let _ = harness.poll();
            harness.session.handle_answer(harness.now, &bytes);
            harness.session.handle_answer(harness.now, json!({"id": 1, "result": message}).to_string().as_bytes());
            harness.advance(SECOND / 3);
        }
    }
}
