//! `ravenspar members`, from the view of the fleet.

use std::time::Duration;

use ravenspar_view::show::MemberInfo;
use ravenspar_view::State;

use crate::fleet::{query, Answer};
use crate::print_line;
use crate::settings::Fleet;

/// Interval of the queries with `--watch`: some three rounds of the view.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Prints the fleet once, or with `watch` after each change until the process is ended.
pub async fn show(fleet: &Fleet, json: bool, watch: bool) -> Result<(), String> {
    let at = fleet.address.unwrap_or(fleet.listen);
    let mut last = String::new();
    loop {
        // The comparison ignores the time since a member's last change.
        let (text, unchanged_part) = match query(at, &fleet.key).await {
            Ok(mut answer) => {
                let text = if json { as_json(&answer).to_string() } else { as_table(&answer) };
                answer.members.iter_mut().for_each(|member| member.since_ms = 0);
                (text, as_json(&answer).to_string())
            }
            // With `--watch` a steward that doesn't answer is reported, and queried again.
            Err(why) if watch => (why.clone(), why),
            Err(why) => return Err(why),
        };
        if !watch {
            print_line(&text);
            return Ok(());
        }
        if unchanged_part != last {
            print_line(&text);
        }
        last = unchanged_part;
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

/// A member's state as operators see it; `docs/oncall.md` says how to react to each.
fn state(member: &MemberInfo) -> &'static str {
    match (member.state, member.shown, member.suspected_by.is_empty()) {
        (State::Left, ..) => "left",
        (State::Gone, ..) => "gone",
        (State::Alive, false, _) => "coming",
        (State::Alive, true, true) => "in",
        (State::Alive, true, false) => "suspect",
    }
}

/// The names of the members that suspect this one.
fn accusers(answer: &Answer, member: &MemberInfo) -> Vec<String> {
    let name = |id: &u64| {
        let found = answer.members.iter().find(|other| ravenspar_view::id(&other.name) == *id);
        found.map_or_else(|| format!("{id:016x}"), |other| other.name.clone())
    };
    member.suspected_by.iter().map(name).collect()
}

/// The state of the view as a whole.
fn view_status(answer: &Answer) -> &'static str {
    match (answer.view.cut_off, answer.view.settled) {
        (true, _) => "cut off",
        (false, true) => "settled",
        (false, false) => "not settled",
    }
}

fn sorted_members(answer: &Answer) -> Vec<&MemberInfo> {
    let mut members: Vec<&MemberInfo> = answer.members.iter().collect();
    members.sort_by(|a, b| a.name.cmp(&b.name));
    members
}

fn as_json(answer: &Answer) -> serde_json::Value {
    let member = |member: &&MemberInfo| {
        serde_json::json!({
            "name": member.name, "life": member.incarnation, "address": member.address.to_string(),
            "state": state(member), "since_ms": member.since_ms, "suspected_by": accusers(answer, member),
            "view": member.view.map(|(_, digest)| format!("{digest:016x}")), "joined": member.forwarders.joined,
        })
    };
    serde_json::json!({
        "view": answer.view.number, "digest": format!("{:016x}", answer.view.digest),
        "settled": answer.view.settled, "cut_off": answer.view.cut_off,
        "members": sorted_members(answer).iter().map(member).collect::<Vec<_>>(),
    })
}

fn as_table(answer: &Answer) -> String {
    let mut text = format!(
        "view {} {:016x}, {}\n{:<32}  {:>16}  {:<21}  {:<8}  {:<16}  {:>7}  {:>9}  suspected by",
        answer.view.number,
        answer.view.digest,
        view_status(answer),
        "name",
        "life",
        "address",
        "state",
        "view",
        "joined",
        "since, s",
    );
    for member in sorted_members(answer) {
        let view = member.view.map_or("-".to_owned(), |(_, digest)| format!("{digest:016x}"));
        text.push_str(&format!(
            "\n{:<32}  {:>16}  {:<21}  {:<8}  {view:<16}  {:>7}  {:>9.1}  {}",
            member.name,
            member.incarnation,
            member.address.to_string(),
            state(member),
            member.forwarders.joined,
            f64::from(member.since_ms) / 1_000.0,
            accusers(answer, member).join(", "),
        ));
    }
    text
}
