//! Replies and error messages for batches of input lines.

use super::*;

const BEGIN: &str = "BEGIN i=steward-3 rng_seed=7 family_info.ranges=2 family_info.write_lease_s=4.0 \
     family_info.settle_s=5.0 family_info.channel_rate=3000 odd_key=1 classes.count=1 classes.0.name=quote";

/// Returns the replies, the error messages and the result for these lines of input.
fn run(lines: &[&str]) -> (String, Vec<String>, io::Result<()>) {
    let (mut out, mut errors) = (Vec::new(), Vec::new());
    let input = lines.join("\n");
    let result = Drill::default().run(input.as_bytes(), &mut out, |text| errors.push(text.to_owned()));
    (String::from_utf8(out).expect("replies are UTF-8"), errors, result)
}

fn batch(lines: &[&str]) -> (String, Vec<String>, io::Result<()>) {
    run(&[&["BEGIN_BATCH ts_s=8.5 seq=4"], lines, &["YOUR_TURN", ""]].concat())
}

#[test]
fn an_empty_batch_is_answered_with_its_number() {
    let (out, errors, result) = batch(&[]);
    assert_eq!((out.as_str(), errors.len()), ("FINISHED seq=4\n", 0));
    assert!(result.is_ok());
}

#[test]
fn the_end_of_input_is_a_success_between_batches_and_a_failure_within_one() {
    assert!(run(&[]).2.is_ok());
    assert!(run(&["BEGIN_BATCH ts_s=8.5 seq=4", BEGIN]).2.is_err());
}

#[test]
fn a_started_instance_replies_and_ignores_unknown_settings() {
    let (out, errors, _) = batch(&[BEGIN]);
    assert_eq!(out, "REMIND i=steward-3 ctx=1 time_s=8.6000\nFINISHED seq=4\n");
    assert_eq!(errors, [""; 0]);
}

#[test]
fn a_missing_setting_is_reported_by_name() {
    let (out, ..) = batch(&["BEGIN i=steward-3 rng_seed=7 family_info.ranges=2"]);
    let words = "GIVE_IN i=steward-3 words=the setting family_info.write_lease_s is missing";
    assert_eq!(out, format!("{words}\nFINISHED seq=4\n"));
}

#[test]
fn invalid_lines_are_reported_and_the_rest_of_the_batch_is_processed() {
    for (line, error) in [
        ("GIVEN i=steward-3 active=1", "GIVEN: field map_id is missing"),
        ("GIVEN i=steward-3 map_id=x active=1", "GIVEN: field map_id can't be read: x"),
        ("GIVEN i=steward-3 map_id=2 active=1", "GIVEN: field map_id is out of range: 2"),
        ("GIVEN i=steward-3 map_id=1 active=maybe", "GIVEN: field active can't be read: maybe"),
        ("GIVEN i=other map_id=1 active=1", "GIVEN: field i can't be read: other"),
        ("JOINED i=steward-9 client_lb=1", "JOINED: steward-9 was never started"),
        ("STOP i=steward-9", "STOP: steward-9 was never started"),
        ("JOINED i=steward-3 client_lb=70000", "JOINED: field client_lb can't be read: 70000"),
        ("WHAT i=steward-3", "WHAT: unknown message"),
        ("M host=1 health=healthy", "M: no SNAPSHOT_ROWS before it"),
        ("SNAPSHOT_ROWS sheet=16 hosts=0", "SNAPSHOT_ROWS: field sheet is out of range: 16"),
        ("MEMBERSHIP i=steward-3 scope=diff sheet=5", "MEMBERSHIP: field sheet is unknown: 5"),
        ("HOTNESS i=steward-3 map_id=0 qos=x tries_n=1 window_s=1", "HOTNESS: field qos is unknown: x"),
        (
            "TRAFFIC_REPORT i=steward-3 host=1 tries_n=nan failed=0 took_s=0",
            "TRAFFIC_REPORT: field tries_n is out of range: NaN",
        ),
    ] {
        let (out, errors, result) = batch(&[BEGIN, line]);
        assert_eq!(errors, [error]);
        assert_eq!(out, "REMIND i=steward-3 ctx=1 time_s=8.6000\nFINISHED seq=4\n");
        assert!(result.is_ok());
    }
}

#[test]
fn a_line_outside_a_batch_is_reported() {
    assert_eq!(run(&[BEGIN, ""]).1, ["BEGIN: outside a batch"]);
}

#[test]
fn a_list_number_refers_to_the_latest_list_with_it() {
    let (out, errors, _) = batch(&[
        BEGIN,
        "SNAPSHOT_ROWS sheet=0 hosts=2",
        "M host=51 health=healthy",
        "M host=52 health=healthy",
        "MEMBERSHIP i=steward-3 sheet=0 scope=snapshot",
        "GIVEN i=steward-3 map_id=1 active=1",
        "ON_RECORD i=steward-3 map_id=1 host=51 heft=1",
        "SNAPSHOT_ROWS sheet=0 hosts=1",
        "M host=51 health=cordoned",
        "MEMBERSHIP i=steward-3 sheet=0 scope=diff",
    ]);
    assert_eq!(errors, [""; 0]);
    let orders: Vec<&str> = out.lines().filter(|line| !line.starts_with("REMIND")).collect();
    let drop = "DROP_LINES i=steward-3 map_id=1";
    assert_eq!(orders, [drop, "STAMP i=steward-3 number=1 active=1", "FINISHED seq=4"]);
}

#[test]
fn instances_reply_independently() {
    let other = BEGIN.replace("steward-3", "steward-5");
    let (out, ..) = batch(&[BEGIN, &other, "STOP i=steward-3"]);
    assert_eq!(out, "REMIND i=steward-5 ctx=1 time_s=8.6000\nFINISHED seq=4\n");
}
