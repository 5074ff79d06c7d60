//! The sections of the file that only the program reads, each checked as a whole.

use std::path::Path;

use super::{Debts, Fleet, Jobs, ListStore, Share};
use crate::yaml::{Node, SpannedNode};

/// The endpoints of a store, each checked.
fn endpoints<'a>(
    name: &str,
    value_of: &impl Fn(&str) -> Option<&'a str>,
    errors: &mut Vec<(u64, u64, String)>,
    tree: &SpannedNode,
) -> Vec<String> {
    let endpoints: Vec<String> = value_of(name).unwrap_or_default().lines().map(str::to_owned).collect();
    if endpoints.is_empty() {
        let what = format!("{name}: missing, expected a list of addresses as http://127.0.0.1:2379");
        errors.push((tree.line, tree.column, what));
    }
    for why in endpoints.iter().filter_map(|endpoint| ravenspar_etcd::check_endpoint(endpoint).err()) {
        let what = format!("{name}: {why}, expected an address as http://127.0.0.1:2379");
        errors.push((tree.line, tree.column, what));
    }
    endpoints
}

/// The settings of the server list, if it is in a store.
pub(super) fn list_store<'a>(
    value_of: &impl Fn(&str) -> Option<&'a str>,
    errors: &mut Vec<(u64, u64, String)>,
    tree: &SpannedNode,
) -> Option<ListStore> {
    if value_of("list.source") != Some("etcd") {
        if value_of("list.source").is_some() && value_of("list.path").is_none_or(str::is_empty) {
            errors.push((tree.line, tree.column, "list.path: missing, expected a text".to_owned()));
        }
        return None;
    }
    let call_within = value_of("list.call_within").and_then(|text| text.parse().ok()).unwrap_or(1.0);
    Some(ListStore {
        endpoints: endpoints("list.endpoints", value_of, errors, tree),
        prefix: value_of("list.prefix").unwrap_or_default().to_owned(),
        call_within: std::time::Duration::from_secs_f64(call_within),
    })
}

/// The position of a section, or of the file if it has none.
fn position(tree: &SpannedNode, name: &str) -> (u64, u64) {
    let Node::Map(entries) = &tree.node else { return (tree.line, tree.column) };
    let found = entries.iter().find(|(key, _)| matches!(&key.node, Node::Text(text) if text == name));
    found.map_or((tree.line, tree.column), |(key, _)| (key.line, key.column))
}

/// The settings of the view of the fleet, if it is configured.
pub(super) fn fleet<'a>(
    value_of: &impl Fn(&str) -> Option<&'a str>,
    errors: &mut Vec<(u64, u64, String)>,
    tree: &SpannedNode,
    folder: &Path,
) -> Option<Fleet> {
    let text = |name: &str| value_of(name).unwrap_or_default();
    let names = ["fleet.name", "fleet.listen", "fleet.key"];
    if names.iter().chain(&["fleet.address", "fleet.peers"]).all(|name| text(name).is_empty()) {
        return None;
    }
    let (line, column) = position(tree, "fleet");
    for name in names.iter().filter(|name| text(name).is_empty()) {
        errors.push((line, column, format!("{name}: missing, it is needed for a view of the fleet")));
    }
    if text("fleet.name").len() > ravenspar_view::MAX_NAME_LENGTH {
        let what = format!("fleet.name: expected at most {} bytes", ravenspar_view::MAX_NAME_LENGTH);
        errors.push((line, column, what));
    }
    let listen: std::net::SocketAddr = text("fleet.listen").parse().ok()?;
    if listen.ip().is_unspecified() && text("fleet.address").is_empty() {
        let what = format!("fleet.address: missing, expected where others reach {listen}");
        errors.push((line, column, what));
    }
    let time = |name: &str| (text(name).parse::<f64>().unwrap_or(0.0) * 10_000.0).round() as i64;
    let (round, forget) = (time("fleet.round"), time("fleet.forget"));
    // Below 50 ms, answers over a network with some milliseconds of latency come too late; above 5 s, no member is dropped
    // within a minute.
    if !(500..=50_000).contains(&round) {
        errors.push((line, column, "fleet.round: expected 50ms to 5s".to_owned()));
    }
    Some(Fleet {
        name: text("fleet.name").to_owned(),
        listen,
        address: text("fleet.address").parse().ok(),
        peers: text("fleet.peers").lines().filter_map(|peer| peer.parse().ok()).collect(),
        key: folder.join(text("fleet.key")),
        round,
        forget,
        toggles: ravenspar_view::FeatureToggles::default(),
    })
}

/// The settings of the jobs duty, if it is configured.
pub(super) fn jobs<'a>(
    value_of: &impl Fn(&str) -> Option<&'a str>,
    errors: &mut Vec<(u64, u64, String)>,
    tree: &SpannedNode,
) -> Option<Jobs> {
    let (line, column) = position(tree, "jobs");
    let Node::Map(entries) = &tree.node else { return None };
    if !entries.iter().any(|(key, _)| matches!(&key.node, Node::Text(text) if text == "jobs")) {
        return None;
    }
    let text = |name: &str| value_of(name).unwrap_or_default();
    if value_of("store") != Some("etcd") {
        errors.push((
            line,
            column,
            "jobs: expected store: etcd, which keeps the leader of a duty".to_owned(),
        ));
    }
    let listen = text("jobs.listen").parse();
    if listen.is_err() {
        let what = format!("jobs.listen: {}: expected an address and a port for agents", text("jobs.listen"));
        errors.push((line, column, what));
    }
    let seconds = |name: &str| text(name).parse::<f64>().unwrap_or(0.0);
    let count = |name: &str| text(name).parse::<f64>().unwrap_or(0.0) as usize;
    let time = |name: &str| (seconds(name) * 10_000.0).round() as ravenspar_steward::Time;
    let lease = seconds("jobs.lease");
    // Renewals are sent every fifth of the lease, and a margin is subtracted for a job to stop.
    if lease.fract() != 0.0 || lease < 2.0 {
        errors.push((line, column, format!("jobs.lease: {lease}s: expected whole seconds, 2 or more")));
    }
    Some(Jobs {
        listen: listen.ok()?,
        lease: lease as u32,
        sites: count("jobs.sites"),
        limits: ravenspar_jobs::Limits {
            jobs: count("jobs.most"),
            attempts: count("jobs.attempts") as u32,
            retry_delay: time("jobs.again"),
            cold_period: time("jobs.cold"),
            mass_loss_delay: time("jobs.most_gone"),
            max_wait: time("jobs.wait"),
            // Each may write a line, its outcome and its site's key: etcd accepts 128 operations of each type.
            writes: 60,
        },
    })
}

/// The settings of the debts duty, if it is configured.
pub(super) fn debts<'a>(
    value_of: &impl Fn(&str) -> Option<&'a str>,
    errors: &mut Vec<(u64, u64, String)>,
    tree: &SpannedNode,
) -> Option<Debts> {
    let text = |name: &str| value_of(name).unwrap_or_default();
    if text("debts.half_life").is_empty() {
        return None;
    }
    let (line, column) = position(tree, "debts");
    if text("jobs.listen").is_empty() {
        errors.push((line, column, "debts: expected jobs, whose use they count".to_owned()));
    }
    let seconds = |name: &str| text(name).parse::<f64>().unwrap_or(0.0);
    let (half_life, epoch) = (seconds("debts.half_life"), seconds("debts.epoch"));
    // A shorter epoch would have only one or two folds; a longer half-life in epochs would not fit its integer.
    if !(0.1..=3_600.0).contains(&epoch) || !(1.0..=1e9).contains(&(half_life / epoch)) {
        let what = "debts.epoch: expected 100ms to 1h, and a half-life of one epoch or more".to_owned();
        errors.push((line, column, what));
    }
    let mut weights = |name: &str| {
        let mut all = std::collections::BTreeMap::new();
        for entry in text(name).lines() {
            let weight =
                entry.split_once('=').and_then(|(key, weight)| Some((key, weight.parse::<u32>().ok()?)));
            match weight {
                Some((key, weight)) if !key.is_empty() => _ = all.insert(key.to_owned(), u64::from(weight)),
                _ => {
                    let what = format!("{name}: {entry}: expected a name and its weight, as lender=3");
                    errors.push((line, column, what));
                }
            }
        }
        all
    };
    let (users, groups) = (weights("debts.users"), weights("debts.groups"));
    Some(Debts {
        epoch: (epoch * 10_000.0).round() as ravenspar_steward::Time,
        shares: ravenspar_debt::Shares {
            groups,
            users,
            other: seconds("debts.other") as u64,
            half_life: (half_life / epoch).round() as u32,
        },
    })
}

/// The settings of the shared store, if it is configured.
pub(super) fn share<'a>(
    value_of: &impl Fn(&str) -> Option<&'a str>,
    errors: &mut Vec<(u64, u64, String)>,
    tree: &SpannedNode,
) -> Option<Share> {
    if value_of("store") != Some("etcd") {
        return None;
    }
    let text = |name: &str| value_of(name).unwrap_or_default().to_owned();
    let endpoints = endpoints("share.endpoints", value_of, errors, tree);
    let seconds = |name: &str| text(name).parse::<f64>().unwrap_or(0.0);
    let lease = seconds("share.member_lease");
    if lease.fract() != 0.0 || lease < 1.0 {
        let what = format!("share.member_lease: {lease}s: expected whole seconds");
        errors.push((tree.line, tree.column, what));
    }
    Some(Share {
        name: text("share.name"),
        endpoints,
        prefix: text("share.prefix"),
        member_lease: lease as u32,
        call_within: std::time::Duration::from_secs_f64(seconds("share.call_within")),
    })
}
