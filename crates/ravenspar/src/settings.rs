//! The steward's settings: YAML at the door, checked against one table, which also maps them onto the plain map of
//! names to values that the decisions and the host read.

use std::path::{Path, PathBuf};

use ravenspar_steward::Settings;

use crate::yaml::{self, Faults, Node, Placed};

/// What a value has to be.
#[derive(Clone, Copy, Debug)]
pub enum Form {
    /// A time with its unit, longer than 0.
    Time,
    /// A whole number within these bounds.
    Count(f64, f64),
    /// A number within these bounds.
    Number(f64, f64),
    Flag,
    Text,
    /// A list of texts, one or more; kept a line each.
    Texts,
    /// An address with a port.
    Address,
    /// A list of such addresses; kept a line each.
    Addresses,
    /// One of these words, each with the value that the map has for it.
    Word(&'static [(&'static str, &'static str)]),
}

/// One setting: where it stands in the file, what it has to be, its name in the map (none: the program's own), and
/// what holds where it is missing (none: it has to be there).
pub struct Entry {
    pub path: &'static str,
    pub form: Form,
    pub name: Option<&'static str>,
    pub missing: Option<&'static str>,
}

const fn entry(path: &'static str, form: Form, name: &'static str, missing: Option<&'static str>) -> Entry {
    Entry { path, form, name: Some(name), missing }
}

const fn own(path: &'static str, form: Form, missing: Option<&'static str>) -> Entry {
    Entry { path, form, name: None, missing }
}

/// The table. `docs/guide/run.md` says what each one means.
pub const TABLE: &[Entry] = &[
    own("listen", Form::Text, None),
    own("record", Form::Text, None),
    own("list.source", Form::Word(&[("file", "file"), ("etcd", "etcd")]), Some("file")),
    own("list.path", Form::Text, Some("")),
    own("list.endpoints", Form::Texts, Some("")),
    own("list.prefix", Form::Text, Some("/ravenspar/servers/")),
    own("list.call_within", Form::Time, Some("1s")),
    own("seed", Form::Count(0.0, 9e15), Some("1")),
    entry("forwarders", Form::Count(1.0, 65_535.0), "family_info.proxy_count", None),
    entry("slices", Form::Count(1.0, 65_535.0), "family_info.ranges", None),
    entry("stewards", Form::Count(1.0, 64.0), "balancers", Some("1")),
    own("store", Form::Word(&[("embedded", "embedded"), ("etcd", "etcd")]), Some("embedded")),
    own("share.name", Form::Text, Some("steward")),
    own("share.endpoints", Form::Texts, Some("")),
    own("share.prefix", Form::Text, Some("/ravenspar/")),
    own("share.member_lease", Form::Time, Some("3s")),
    own("share.call_within", Form::Time, Some("1s")),
    own("fleet.name", Form::Text, Some("")),
    own("fleet.listen", Form::Address, Some("")),
    own("fleet.address", Form::Address, Some("")),
    own("fleet.peers", Form::Addresses, Some("")),
    own("fleet.key", Form::Text, Some("")),
    // `ravenspar_view::ROUND` and `FORGET` say why.
    own("fleet.round", Form::Time, Some("300ms")),
    own("fleet.forget", Form::Time, Some("10m")),
    own("jobs.listen", Form::Text, Some("")),
    own("jobs.lease", Form::Time, Some("10s")),
    own("jobs.most", Form::Count(1.0, 1_000_000.0), Some("100000")),
    own("jobs.sites", Form::Count(1.0, 10_000.0), Some("256")),
    own("jobs.attempts", Form::Count(1.0, 1_000.0), Some("5")),
    own("jobs.again", Form::Time, Some("2s")),
    own("jobs.cold", Form::Time, Some("10s")),
    own("jobs.most_gone", Form::Time, Some("30s")),
    own("jobs.wait", Form::Time, Some("10m")),
    own("debts.half_life", Form::Time, Some("")),
    own("debts.epoch", Form::Time, Some("10s")),
    own("debts.users", Form::Texts, Some("")),
    own("debts.groups", Form::Texts, Some("")),
    own("debts.other", Form::Count(0.0, 1e6), Some("1")),
    entry("lease", Form::Time, "family_info.write_lease_s", None),
    entry("settle", Form::Time, "family_info.settle_s", None),
    entry("hold", Form::Time, "family_info.hold_s", None),
    entry("unserved_most", Form::Time, "family_info.unserved_max_s", None),
    entry("tick", Form::Time, "tick_s", Some("2ms")),
    entry("silent_after", Form::Time, "host.silent_s", None),
    entry("channel.lines_per_s", Form::Number(1.0, 1e9), "family_info.channel_rate", None),
    entry("channel.waiting_lines", Form::Count(1.0, 1e9), "family_info.pending_max", None),
    entry("channel.message_cost", Form::Count(0.0, 1e6), "family_info.fixed_cost", None),
    entry("channel.messages", Form::Count(0.0, 1e6), "family_info.pushes_allowed", None),
    entry("channel.messages_within", Form::Time, "family_info.update_window_s", None),
    entry("reports.every", Form::Time, "family_info.cycle_s", None),
    entry("reports.lines_per_s", Form::Number(1.0, 1e9), "family_info.intake_per_s", None),
    entry(
        "levels",
        Form::Word(&[("share", "ratio"), ("rate", "rps"), ("none", "none")]),
        "family_info.admit",
        Some("share"),
    ),
    entry("cold.from", Form::Number(0.001, 1.0), "safety.cold_from", None),
    entry("cold.for", Form::Time, "safety.cold_s", None),
    entry("cold.fall_multiple", Form::Number(0.001, 1e6), "safety.fall_multiple", None),
    entry("cold.fall_for", Form::Time, "safety.fall_s", None),
    entry("drain.grace", Form::Time, "safety.drain_grace_s", None),
    entry("drain.only_draining_binds", Form::Flag, "safety.only_draining_binds", Some("false")),
];

/// The same for each of `kinds`; `{}` in a name is its place.
pub const KIND: &[Entry] = &[
    entry("name", Form::Text, "classes.{}.name", None),
    entry("response_target", Form::Time, "classes.{}.aim_s", None),
    entry("client_timeout", Form::Time, "classes.{}.hard_limit_s", None),
    entry("credit", Form::Number(0.0, 1e9), "classes.{}.worth", None),
    entry(
        "repeats",
        Form::Word(&[("replayable", "pure"), ("uniqued", "token"), ("non-replayable", "side_effect")]),
        "classes.{}.effect",
        None,
    ),
    own("writes", Form::Flag, None),
];

/// Settings that passed every check.
#[derive(Clone, Debug)]
pub struct Checked {
    pub listen: String,
    pub record: PathBuf,
    pub list: PathBuf,
    /// Where the list is in a store; none: it is in the file.
    pub list_store: Option<ListStore>,
    pub seed: u64,
    /// Where the record is shared with other stewards; none: it is this steward's own file.
    pub share: Option<Share>,
    /// The view that stewards keep among themselves, if there is to be one.
    pub fleet: Option<Fleet>,
    /// The duty of jobs, if this fleet has it.
    pub jobs: Option<Jobs>,
    /// The duty of debts, if this fleet has it.
    pub debts: Option<Debts>,
    pub map: Settings,
}

/// How jobs are held by sites.
#[derive(Clone, Debug)]
pub struct Jobs {
    /// Where agents of sites come.
    pub listen: std::net::SocketAddr,
    /// Of a site's life at the store, in whole seconds.
    pub lease: u32,
    /// Sites whose agents may be connected.
    pub sites: usize,
    pub limits: ravenspar_jobs::Limits,
}

/// How a steward takes part in the view of the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub name: String,
    pub listen: std::net::SocketAddr,
    /// Where others reach it; none: where it listens.
    pub address: Option<std::net::SocketAddr>,
    pub peers: Vec<std::net::SocketAddr>,
    pub key: PathBuf,
    pub round: ravenspar_steward::Time,
    pub forget: ravenspar_steward::Time,
    /// Of no setting: what a test leaves out.
    pub switches: ravenspar_view::Switches,
}

/// How debts are reckoned.
#[derive(Clone, Debug)]
pub struct Debts {
    pub epoch: ravenspar_steward::Time,
    pub shares: ravenspar_debt::Shares,
}

/// A list of servers in a store.
#[derive(Clone, Debug)]
pub struct ListStore {
    pub endpoints: Vec<String>,
    pub prefix: String,
    pub call_within: std::time::Duration,
}

/// How stewards share.
#[derive(Clone, Debug)]
pub struct Share {
    pub name: String,
    pub endpoints: Vec<String>,
    pub prefix: String,
    /// Whole seconds, as the store has them.
    pub member_lease: u32,
    pub call_within: std::time::Duration,
}

/// Reads and checks a file. Relative paths in it count from its folder.
pub fn load(path: &Path) -> Result<Checked, Faults> {
    let tree = yaml::read(path)?;
    let mut check = Check { faults: Vec::new(), map: Settings::default(), own: Vec::new() };
    check.map(&tree, "", TABLE, "", &["kinds"]);
    check.kinds(&tree);
    let mut check_faults = Vec::new();
    let own = |name: &str| check.own.iter().find(|(path, _)| path == name).map(|(_, value)| value.as_str());
    let folder = path.parent().unwrap_or(Path::new("."));
    let listen = own("listen").unwrap_or_default().to_owned();
    if !listen.is_empty() && listen.parse::<std::net::SocketAddr>().is_err() {
        check.faults.push((
            tree.line,
            tree.column,
            format!("listen: {listen}: expected an address and a port"),
        ));
    }
    let share = share(&own, &mut check_faults, &tree);
    let fleet = fleet(&own, &mut check_faults, &tree, folder);
    let list_store = list_store(&own, &mut check_faults, &tree);
    let jobs = jobs(&own, &mut check_faults, &tree);
    let debts = debts(&own, &mut check_faults, &tree);
    let checked = Checked {
        share,
        fleet,
        jobs,
        debts,
        list_store,
        listen,
        record: folder.join(own("record").unwrap_or_default()),
        list: folder.join(own("list.path").unwrap_or_default()),
        seed: own("seed").and_then(|seed| seed.parse().ok()).unwrap_or(1),
        map: check.map,
    };
    check.faults.append(&mut check_faults);
    if check.faults.is_empty() {
        // The last word is the host's and the decisions' own: nothing may be missing when they start.
        if let Err(name) = ravenspar_host::Host::new(0, 1, checked.map.clone(), 1, &[], &[]) {
            check.faults.push((tree.line, tree.column, format!("the setting {name} is missing or unusable")));
        }
    }
    match check.faults.is_empty() {
        true => Ok(checked),
        false => {
            check.faults.sort();
            Err(Faults { path: path.to_owned(), faults: check.faults })
        }
    }
}

/// A list of endpoints, each checked.
fn endpoints<'a>(
    name: &str,
    own: &impl Fn(&str) -> Option<&'a str>,
    faults: &mut Vec<(u64, u64, String)>,
    tree: &Placed,
) -> Vec<String> {
    let endpoints: Vec<String> = own(name).unwrap_or_default().lines().map(str::to_owned).collect();
    if endpoints.is_empty() {
        let what = format!("{name}: missing, expected a list of addresses as http://127.0.0.1:2379");
        faults.push((tree.line, tree.column, what));
    }
    for why in endpoints.iter().filter_map(|endpoint| ravenspar_etcd::check_endpoint(endpoint).err()) {
        let what = format!("{name}: {why}, expected an address as http://127.0.0.1:2379");
        faults.push((tree.line, tree.column, what));
    }
    endpoints
}

/// Where the list is, if in a store.
fn list_store<'a>(
    own: &impl Fn(&str) -> Option<&'a str>,
    faults: &mut Vec<(u64, u64, String)>,
    tree: &Placed,
) -> Option<ListStore> {
    if own("list.source") != Some("etcd") {
        if own("list.source").is_some() && own("list.path").is_none_or(str::is_empty) {
            faults.push((tree.line, tree.column, "list.path: missing, expected a text".to_owned()));
        }
        return None;
    }
    let call_within = own("list.call_within").and_then(|text| text.parse().ok()).unwrap_or(1.0);
    Some(ListStore {
        endpoints: endpoints("list.endpoints", own, faults, tree),
        prefix: own("list.prefix").unwrap_or_default().to_owned(),
        call_within: std::time::Duration::from_secs_f64(call_within),
    })
}

/// Where a map of settings stands, or the file.
fn place(tree: &Placed, name: &str) -> (u64, u64) {
    let Node::Map(entries) = &tree.node else { return (tree.line, tree.column) };
    let found = entries.iter().find(|(key, _)| matches!(&key.node, Node::Text(text) if text == name));
    found.map_or((tree.line, tree.column), |(key, _)| (key.line, key.column))
}

/// The settings of the view, if there is to be one.
fn fleet<'a>(
    own: &impl Fn(&str) -> Option<&'a str>,
    faults: &mut Vec<(u64, u64, String)>,
    tree: &Placed,
    folder: &Path,
) -> Option<Fleet> {
    let text = |name: &str| own(name).unwrap_or_default();
    let names = ["fleet.name", "fleet.listen", "fleet.key"];
    if names.iter().chain(&["fleet.address", "fleet.peers"]).all(|name| text(name).is_empty()) {
        return None;
    }
    let (line, column) = place(tree, "fleet");
    for name in names.iter().filter(|name| text(name).is_empty()) {
        faults.push((line, column, format!("{name}: missing, it is needed for a view of the fleet")));
    }
    if text("fleet.name").len() > ravenspar_view::NAME {
        let what = format!("fleet.name: expected at most {} bytes", ravenspar_view::NAME);
        faults.push((line, column, what));
    }
    let listen: std::net::SocketAddr = text("fleet.listen").parse().ok()?;
    if listen.ip().is_unspecified() && text("fleet.address").is_empty() {
        let what = format!("fleet.address: missing, expected where others reach {listen}");
        faults.push((line, column, what));
    }
    let time = |name: &str| (text(name).parse::<f64>().unwrap_or(0.0) * 10_000.0).round() as i64;
    let (round, forget) = (time("fleet.round"), time("fleet.forget"));
    // Below it answers over a network of some milliseconds come too late, above it nobody is dropped within a minute.
    if !(500..=50_000).contains(&round) {
        faults.push((line, column, "fleet.round: expected 50ms to 5s".to_owned()));
    }
    Some(Fleet {
        name: text("fleet.name").to_owned(),
        listen,
        address: text("fleet.address").parse().ok(),
        peers: text("fleet.peers").lines().filter_map(|peer| peer.parse().ok()).collect(),
        key: folder.join(text("fleet.key")),
        round,
        forget,
        switches: ravenspar_view::Switches::default(),
    })
}

/// The settings of jobs, if there is to be that duty.
fn jobs<'a>(
    own: &impl Fn(&str) -> Option<&'a str>,
    faults: &mut Vec<(u64, u64, String)>,
    tree: &Placed,
) -> Option<Jobs> {
    let (line, column) = place(tree, "jobs");
    let Node::Map(entries) = &tree.node else { return None };
    if !entries.iter().any(|(key, _)| matches!(&key.node, Node::Text(text) if text == "jobs")) {
        return None;
    }
    let text = |name: &str| own(name).unwrap_or_default();
    if own("store") != Some("etcd") {
        faults.push((line, column, "jobs: expected store: etcd, which says who owns a duty".to_owned()));
    }
    let listen = text("jobs.listen").parse();
    if listen.is_err() {
        let what = format!("jobs.listen: {}: expected an address and a port for agents", text("jobs.listen"));
        faults.push((line, column, what));
    }
    let seconds = |name: &str| text(name).parse::<f64>().unwrap_or(0.0);
    let count = |name: &str| text(name).parse::<f64>().unwrap_or(0.0) as usize;
    let time = |name: &str| (seconds(name) * 10_000.0).round() as ravenspar_steward::Time;
    let lease = seconds("jobs.lease");
    // A fifth of it is between two renewals, and a margin is taken off for a job to stop.
    if lease.fract() != 0.0 || lease < 2.0 {
        faults.push((line, column, format!("jobs.lease: {lease}s: expected whole seconds, 2 or more")));
    }
    Some(Jobs {
        listen: listen.ok()?,
        lease: lease as u32,
        sites: count("jobs.sites"),
        limits: ravenspar_jobs::Limits {
            jobs: count("jobs.most"),
            attempts: count("jobs.attempts") as u32,
            again: time("jobs.again"),
            cold: time("jobs.cold"),
            most_gone: time("jobs.most_gone"),
            wait: time("jobs.wait"),
            // A line, its outcome and its site's key each: 128 operations are what etcd takes of each sort.
            writes: 60,
        },
    })
}

/// The settings of debts, if there is to be that duty.
fn debts<'a>(
    own: &impl Fn(&str) -> Option<&'a str>,
    faults: &mut Vec<(u64, u64, String)>,
    tree: &Placed,
) -> Option<Debts> {
    let text = |name: &str| own(name).unwrap_or_default();
    if text("debts.half_life").is_empty() {
        return None;
    }
    let (line, column) = place(tree, "debts");
    if text("jobs.listen").is_empty() {
        faults.push((line, column, "debts: expected jobs, whose use it is".to_owned()));
    }
    let seconds = |name: &str| text(name).parse::<f64>().unwrap_or(0.0);
    let (half_life, epoch) = (seconds("debts.half_life"), seconds("debts.epoch"));
    // Below it a fold or two would be an epoch; above it a half-life in epochs has no place in its number.
    if !(0.1..=3_600.0).contains(&epoch) || !(1.0..=1e9).contains(&(half_life / epoch)) {
        let what = "debts.epoch: expected 100ms to 1h, and a half-life of one epoch or more".to_owned();
        faults.push((line, column, what));
    }
    let mut weights = |name: &str| {
        let mut all = std::collections::BTreeMap::new();
        for entry in text(name).lines() {
            let weight =
                entry.split_once('=').and_then(|(who, weight)| Some((who, weight.parse::<u32>().ok()?)));
            match weight {
                Some((who, weight)) if !who.is_empty() => _ = all.insert(who.to_owned(), u64::from(weight)),
                _ => {
                    let what = format!("{name}: {entry}: expected a name and its weight, as lender=3");
                    faults.push((line, column, what));
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

/// The settings of the shared store, if there is to be one.
fn share<'a>(
    own: &impl Fn(&str) -> Option<&'a str>,
    faults: &mut Vec<(u64, u64, String)>,
    tree: &Placed,
) -> Option<Share> {
    if own("store") != Some("etcd") {
        return None;
    }
    let text = |name: &str| own(name).unwrap_or_default().to_owned();
    let endpoints = endpoints("share.endpoints", own, faults, tree);
    let seconds = |name: &str| text(name).parse::<f64>().unwrap_or(0.0);
    let lease = seconds("share.member_lease");
    if lease.fract() != 0.0 || lease < 1.0 {
        let what = format!("share.member_lease: {lease}s: expected whole seconds");
        faults.push((tree.line, tree.column, what));
    }
    Some(Share {
        name: text("share.name"),
        endpoints,
        prefix: text("share.prefix"),
        member_lease: lease as u32,
        call_within: std::time::Duration::from_secs_f64(seconds("share.call_within")),
    })
}

struct Check {
    faults: Vec<(u64, u64, String)>,
    map: Settings,
    own: Vec<(String, String)>,
}

impl Check {
    fn fault(&mut self, at: &Placed, what: String) {
        self.faults.push((at.line, at.column, what));
    }

    /// Checks a map, and those in it, against the entries whose paths begin with `prefix`. `index` stands for `{}`.
    fn map(&mut self, at: &Placed, prefix: &str, table: &[Entry], index: &str, others: &[&str]) {
        let Node::Map(entries) = &at.node else {
            return self.fault(at, format!("{}: expected a map of settings", shown(prefix)));
        };
        let mut seen: Vec<&str> = Vec::new();
        for (key, value) in entries {
            let Node::Text(name) = &key.node else {
                self.fault(key, format!("{}: expected the name of a setting", shown(prefix)));
                continue;
            };
            if seen.contains(&name.as_str()) {
                self.fault(key, format!("{prefix}{name}: stands twice"));
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
                self.fault(key, format!("{path}: {what}"));
            } else if !others.contains(&name.as_str()) {
                let known = names(table, prefix, others);
                self.fault(key, format!("{path}: unknown setting, expected one of {known}"));
            }
        }
        for entry in table.iter().filter(|entry| entry.path.starts_with(prefix)) {
            let rest = &entry.path[prefix.len()..];
            if seen.contains(&rest.split('.').next().unwrap_or(rest)) {
                continue; // looked at above
            }
            match entry.missing {
                Some(text) => {
                    let value = read(entry.form, text).unwrap_or_default();
                    self.set(entry, &value, index);
                }
                None => self.fault(at, format!("{}: missing, expected {}", entry.path, expected(entry.form))),
            }
        }
    }

    fn value(&mut self, at: &Placed, entry: &Entry, index: &str) {
        let list;
        let text = match &at.node {
            Node::Text(text) => text.as_str(),
            Node::List(all) if matches!(entry.form, Form::Texts | Form::Addresses) => {
                let texts: Option<Vec<&str>> = all
                    .iter()
                    .map(|one| match &one.node {
                        Node::Text(text) => Some(text.as_str()),
                        _ => None,
                    })
                    .collect();
                let Some(texts) = texts else {
                    return self.fault(at, format!("{}: expected {}", entry.path, expected(entry.form)));
                };
                if matches!(entry.form, Form::Addresses) {
                    // Each has its own place in the file.
                    for (one, text) in all.iter().zip(&texts).filter(|(_, text)| !is_address(text)) {
                        let what = format!("{}: {text}: expected {}", entry.path, expected(Form::Address));
                        self.fault(one, what);
                    }
                    return self.set(entry, &texts.join("\n"), index);
                }
                list = texts.join("\n");
                &list
            }
            _ => return self.fault(at, format!("{}: expected {}", entry.path, expected(entry.form))),
        };
        match read(entry.form, text) {
            Some(value) => self.set(entry, &value, index),
            None => self.fault(at, format!("{}: {text}: expected {}", entry.path, expected(entry.form))),
        }
    }

    fn set(&mut self, entry: &Entry, value: &str, index: &str) {
        match entry.name {
            Some(name) => self.map.set(&name.replace("{}", index), value),
            None => self.own.push((format!("{}{index}", entry.path), value.to_owned())),
        }
    }

    fn kinds(&mut self, tree: &Placed) {
        /// As many as the decisions' masks hold.
        const MOST: usize = 32;
        let Node::Map(entries) = &tree.node else { return };
        let kinds = entries.iter().find(|(key, _)| matches!(&key.node, Node::Text(name) if name == "kinds"));
        let Some((_, kinds)) = kinds else {
            return self.fault(tree, "kinds: missing, expected a list of request kinds".to_owned());
        };
        let list = match &kinds.node {
            Node::List(list) if (1..=MOST).contains(&list.len()) => list,
            _ => return self.fault(kinds, format!("kinds: expected a list of 1 to {MOST} request kinds")),
        };
        for (k, kind) in list.iter().enumerate() {
            self.map(kind, "", KIND, &k.to_string(), &[]);
        }
        let writes =
            |k: usize| self.own.iter().any(|(path, value)| *path == format!("writes{k}") && value == "true");
        let flags: Vec<String> = (0..list.len()).map(|k| writes(k).to_string()).collect();
        self.map.set("classes.count", &list.len().to_string());
        self.map.set("family_info.mutating", &flags.join(","));
        self.map.set("family_info.single_writer", "true");
        // The list source tells of changes by itself.
        self.map.set("discovery", "pushed");
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<std::net::SocketAddr>().is_ok_and(|at| at.port() > 0)
}

/// A text as the map has its value, or none where it is not what it has to be.
fn read(form: Form, text: &str) -> Option<String> {
    let number = |low: f64, high: f64| {
        let number = text.parse::<f64>().ok().filter(|n| n.is_finite() && (low..=high).contains(n));
        number.map(|_| text.to_owned())
    };
    match form {
        // Times in the decisions are whole tenths of a millisecond.
        Form::Time => yaml::seconds(text).filter(|time| *time >= 0.0001).map(|time| time.to_string()),
        Form::Count(low, high) => number(low, high).filter(|text| text.parse::<u64>().is_ok()),
        Form::Number(low, high) => number(low, high),
        Form::Flag => Some(text.to_owned()).filter(|text| text == "true" || text == "false"),
        Form::Address => Some(text.to_owned()).filter(|text| is_address(text)),
        // One that stands alone, without a list.
        Form::Addresses => Some(text.to_owned()).filter(|text| is_address(text)),
        Form::Text | Form::Texts => Some(text.to_owned()).filter(|text| !text.is_empty()),
        Form::Word(words) => {
            words.iter().find(|(word, _)| *word == text).map(|(_, value)| (*value).to_owned())
        }
    }
}

fn shown(prefix: &str) -> &str {
    if prefix.is_empty() {
        "the file"
    } else {
        prefix.trim_end_matches('.')
    }
}

fn names(table: &[Entry], prefix: &str, others: &[&str]) -> String {
    let mut names: Vec<&str> = Vec::new();
    for entry in table.iter().filter_map(|entry| entry.path.strip_prefix(prefix)) {
        let first = entry.split('.').next().unwrap_or(entry);
        if !names.contains(&first) {
            names.push(first);
        }
    }
    names.extend(others);
    names.join(", ")
}

fn expected(form: Form) -> String {
    match form {
        Form::Time => "a time with its unit, as 4s or 250ms".to_owned(),
        Form::Count(low, high) => format!("a whole number from {low} to {high}"),
        Form::Number(low, high) => format!("a number from {low} to {high}"),
        Form::Flag => "true or false".to_owned(),
        Form::Text => "a text".to_owned(),
        Form::Texts => "a list of texts".to_owned(),
        Form::Address => "an address and a port, as 127.0.0.1:7946".to_owned(),
        Form::Addresses => "a list of addresses and ports, as 127.0.0.1:7946".to_owned(),
        Form::Word(words) => {
            format!("one of {}", words.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", "))
        }
    }
}
