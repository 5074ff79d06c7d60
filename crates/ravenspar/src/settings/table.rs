//! The table of settings: the path of each in the file, its type, and its name in the map.

/// The type of a setting's value.
#[derive(Clone, Copy, Debug)]
pub enum ValueType {
    /// A time with its unit, longer than 0.
    Time,
    /// A whole number within these bounds.
    Count(f64, f64),
    /// A number within these bounds.
    Number(f64, f64),
    Flag,
    Text,
    /// A list of one or more texts, stored one per line.
    Texts,
    /// An address with a port.
    Address,
    /// A list of such addresses, stored one per line.
    Addresses,
    /// One of these choices, each with its value in the map.
    Choice(&'static [(&'static str, &'static str)]),
}

/// The specification of one setting.
pub struct SettingSpec {
    /// The path in the file.
    pub path: &'static str,
    pub value_type: ValueType,
    /// The name in the map; `None` for a setting that only the program reads.
    pub map_name: Option<&'static str>,
    /// The value if the setting is missing; `None` if it is required.
    pub default: Option<&'static str>,
}

/// A setting that the map has under `map_name`.
const fn mapped(
    path: &'static str,
    value_type: ValueType,
    map_name: &'static str,
    default: Option<&'static str>,
) -> SettingSpec {
    SettingSpec { path, value_type, map_name: Some(map_name), default }
}

/// A setting that only the program reads.
const fn program(path: &'static str, value_type: ValueType, default: Option<&'static str>) -> SettingSpec {
    SettingSpec { path, value_type, map_name: None, default }
}

/// The settings of the file. `docs/guide/run.md` explains each one.
pub const SETTINGS: &[SettingSpec] = &[
    program("listen", ValueType::Text, None),
    program("record", ValueType::Text, None),
    program("list.source", ValueType::Choice(&[("file", "file"), ("etcd", "etcd")]), Some("file")),
    program("list.path", ValueType::Text, Some("")),
    program("list.endpoints", ValueType::Texts, Some("")),
    program("list.prefix", ValueType::Text, Some("/ravenspar/servers/")),
    program("list.call_within", ValueType::Time, Some("1s")),
    program("seed", ValueType::Count(0.0, 9e15), Some("1")),
    mapped("forwarders", ValueType::Count(1.0, 65_535.0), "family_info.proxy_count", None),
    mapped("slices", ValueType::Count(1.0, 65_535.0), "family_info.ranges", None),
    mapped("stewards", ValueType::Count(1.0, 64.0), "balancers", Some("1")),
    program("store", ValueType::Choice(&[("embedded", "embedded"), ("etcd", "etcd")]), Some("embedded")),
    program("share.name", ValueType::Text, Some("steward")),
    program("share.endpoints", ValueType::Texts, Some("")),
    program("share.prefix", ValueType::Text, Some("/ravenspar/")),
    program("share.member_lease", ValueType::Time, Some("3s")),
    program("share.call_within", ValueType::Time, Some("1s")),
    program("fleet.name", ValueType::Text, Some("")),
    program("fleet.listen", ValueType::Address, Some("")),
    program("fleet.address", ValueType::Address, Some("")),
    program("fleet.peers", ValueType::Addresses, Some("")),
    program("fleet.key", ValueType::Text, Some("")),
    // The reasons are at `ravenspar_view::DEFAULT_ROUND` and `DEFAULT_FORGET`.
    program("fleet.round", ValueType::Time, Some("300ms")),
    program("fleet.forget", ValueType::Time, Some("10m")),
    program("jobs.listen", ValueType::Text, Some("")),
    program("jobs.lease", ValueType::Time, Some("10s")),
    program("jobs.most", ValueType::Count(1.0, 1_000_000.0), Some("100000")),
    program("jobs.sites", ValueType::Count(1.0, 10_000.0), Some("256")),
    program("jobs.attempts", ValueType::Count(1.0, 1_000.0), Some("5")),
    program("jobs.again", ValueType::Time, Some("2s")),
    program("jobs.cold", ValueType::Time, Some("10s")),
    program("jobs.most_gone", ValueType::Time, Some("30s")),
    program("jobs.wait", ValueType::Time, Some("10m")),
    program("debts.half_life", ValueType::Time, Some("")),
    program("debts.epoch", ValueType::Time, Some("10s")),
    program("debts.users", ValueType::Texts, Some("")),
    program("debts.groups", ValueType::Texts, Some("")),
    program("debts.other", ValueType::Count(0.0, 1e6), Some("1")),
    mapped("lease", ValueType::Time, "family_info.write_lease_s", None),
    mapped("settle", ValueType::Time, "family_info.settle_s", None),
    mapped("hold", ValueType::Time, "family_info.hold_s", None),
    mapped("unserved_most", ValueType::Time, "family_info.unserved_max_s", None),
    mapped("tick", ValueType::Time, "tick_s", Some("2ms")),
    mapped("silent_after", ValueType::Time, "host.silent_s", None),
    mapped("channel.lines_per_s", ValueType::Number(1.0, 1e9), "family_info.channel_rate", None),
    mapped("channel.waiting_lines", ValueType::Count(1.0, 1e9), "family_info.pending_max", None),
    mapped("channel.message_cost", ValueType::Count(0.0, 1e6), "family_info.fixed_cost", None),
    mapped("channel.messages", ValueType::Count(0.0, 1e6), "family_info.pushes_allowed", None),
    mapped("channel.messages_within", ValueType::Time, "family_info.update_window_s", None),
    mapped("reports.every", ValueType::Time, "family_info.cycle_s", None),
    mapped("reports.lines_per_s", ValueType::Number(1.0, 1e9), "family_info.intake_per_s", None),
    mapped(
        "levels",
        ValueType::Choice(&[("share", "ratio"), ("rate", "rps"), ("none", "none")]),
        "family_info.admit",
        Some("share"),
    ),
    mapped("cold.from", ValueType::Number(0.001, 1.0), "safety.cold_from", None),
    mapped("cold.for", ValueType::Time, "safety.cold_s", None),
    mapped("cold.fall_multiple", ValueType::Number(0.001, 1e6), "safety.fall_multiple", None),
    mapped("cold.fall_for", ValueType::Time, "safety.fall_s", None),
    mapped("drain.grace", ValueType::Time, "safety.drain_grace_s", None),
    mapped("drain.only_draining_binds", ValueType::Flag, "safety.only_draining_binds", Some("false")),
];

/// The settings of each element of `kinds`; `{}` in a map name stands for its index.
pub const KIND_SETTINGS: &[SettingSpec] = &[
    mapped("name", ValueType::Text, "classes.{}.name", None),
    mapped("response_target", ValueType::Time, "classes.{}.aim_s", None),
    mapped("client_timeout", ValueType::Time, "classes.{}.hard_limit_s", None),
    mapped("credit", ValueType::Number(0.0, 1e9), "classes.{}.worth", None),
    mapped(
        "repeats",
        ValueType::Choice(&[("replayable", "pure"), ("uniqued", "token"), ("non-replayable", "side_effect")]),
        "classes.{}.effect",
        None,
    ),
    program("writes", ValueType::Flag, None),
];
