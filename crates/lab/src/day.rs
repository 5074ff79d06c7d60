//! The definition of a day, as read from its file: the fleet, the load, and the scheduled faults.

use std::collections::BTreeMap;
use std::path::Path;

use ravenspar::yaml;
use ravenspar_standin::{Time, SECOND};
use serde::{Deserialize, Deserializer};

/// A duration, written as `4s` or `250ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Time);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
        let text = String::deserialize(from)?;
        let expected =
            || serde::de::Error::custom(format!("{text}: expected a time with its unit, as 4s or 250ms"));
        yaml::parse_seconds(&text).map(|seconds| Span((seconds * SECOND as f64) as Time)).ok_or_else(expected)
    }
}

/// Returns true if a file has this top-level entry, which tells the kind of day.
pub fn has_entry(path: &Path, entry: &str) -> bool {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    serde_saphyr::from_str::<serde_json::Value>(&text).is_ok_and(|day| day.get(entry).is_some())
}

/// Reads a day of type `T`. The error says what was expected and where.
pub fn read_yaml<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    serde_saphyr::from_str(&text).map_err(|e| format!("{shown}: {e}"))
}

/// A day with servers, stewards, forwarders and clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// What the day demonstrates, for people.
    pub about: String,
    pub seed: u64,
    /// How long clients send.
    pub length: Span,
    /// The steward's settings, except those that the lab adds (`listen`, `record`, `list` and others).
    pub steward: serde_json::Value,
    pub servers: Servers,
    pub forwarders: Forwarders,
    pub clients: Clients,
    /// Stewards that stop themselves at a given point.
    #[serde(default)]
    pub pauses: Vec<StewardPause>,
    /// Delay from a change of a server to the change of the list.
    pub notice: Span,
    /// If true, the stewards keep a view of the fleet.
    #[serde(default)]
    pub view: bool,
    /// Conditions of the links by which the stewards exchange datagrams for it.
    #[serde(default)]
    pub datagrams: How,
    #[serde(default, rename = "troubles")]
    pub faults: Vec<ScheduledFault>,
}

/// The servers and how they behave when cold or overloaded; see [`ravenspar_standin::server::Model`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    pub count: usize,
    pub zones: Vec<String>,
    pub cores: usize,
    /// Relative speeds, assigned round-robin.
    pub speeds: Vec<f64>,
    pub queue: usize,
    pub connections: usize,
    pub cold_from: f64,
    pub cold_for: Span,
    pub fall_multiple: f64,
    pub fall_for: Span,
}

/// The forwarders, and those among them that are faulty.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Forwarders {
    pub count: usize,
    /// Microseconds that a forwarder blocks for each line.
    #[serde(default)]
    pub stall_us: u64,
    /// After this many failures in a row (0: never) a forwarder avoids a server for `away_for`.
    #[serde(default)]
    pub away_after: u32,
    #[serde(default)]
    pub away_for: Span,
    /// Forwarders that acknowledge marks without applying the drops of slices that they have an owner for.
    #[serde(default)]
    pub liars: Vec<usize>,
    /// Forwarders that ignore terms: they apply whatever arrives last, and any lease to any slice.
    #[serde(default)]
    pub ignore_terms: Vec<usize>,
    /// A forwarder that stops itself between the pick and the send of its nth write.
    #[serde(default, rename = "stops")]
    pub pause: Option<ForwarderPause>,
}

/// A steward that stops itself at a given point of its program, once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StewardPause {
    pub steward: usize,
    /// The point, as `ravenspar serve --pause` takes it.
    pub at: String,
    #[serde(rename = "for")]
    pub lasts: Span,
}

/// A forwarder that stops itself before it sends one of its writes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ForwarderPause {
    pub forwarder: usize,
    /// The number of the write, as the forwarder's `--stop-at` takes it.
    pub write: u64,
    #[serde(rename = "for")]
    pub lasts: Span,
}

/// The load that clients generate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries per second.
    pub rate: f64,
    pub keys: u64,
    /// The nth key is requested in proportion to 1 / n^skew.
    #[serde(default)]
    pub skew: f64,
    pub retries: u64,
    pub retry_after: Span,
    /// Relative share of each request kind.
    pub shares: BTreeMap<String, f64>,
    /// Mean work of each request kind on a core of speed 1.
    pub work: BTreeMap<String, Span>,
}

/// Conditions of a link in one direction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct How {
    /// Nothing passes; streams stay open without traffic.
    #[serde(default)]
    pub cut: bool,
    /// Nothing passes; streams are closed, and new ones are refused.
    #[serde(default)]
    pub closed: bool,
    /// The share of pieces lost. Streams retransmit them later.
    #[serde(default)]
    pub lost: f64,
    /// The share of datagrams that are duplicated.
    #[serde(default)]
    pub doubled: f64,
    /// The longest random delay of a piece; it reorders datagrams.
    #[serde(default)]
    pub late: Span,
    /// Bandwidth limit.
    #[serde(default)]
    pub bytes_per_s: Option<u32>,
}

impl How {
    fn check(&self) -> Result<(), String> {
        let is_share = |value: f64| (0.0..=1.0).contains(&value);
        match is_share(self.lost) && is_share(self.doubled) && self.bytes_per_s != Some(0) {
            true => Ok(()),
            false => Err("lost and doubled: expected shares from 0 to 1, bytes_per_s: 1 or more".to_owned()),
        }
    }
}

/// Endpoints of links: `store`, `stewards`, `forwarders`, or a single one as `steward-2`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ends {
    Store,
    Stewards(Option<usize>),
    Forwarders(Option<usize>),
}

impl<'de> Deserialize<'de> for Ends {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Ends, D::Error> {
        let text = String::deserialize(from)?;
        let number = |prefix: &str| text.strip_prefix(prefix).and_then(|number| number.parse().ok());
        match text.as_str() {
            "store" => return Ok(Ends::Store),
            "stewards" => return Ok(Ends::Stewards(None)),
            "forwarders" => return Ok(Ends::Forwarders(None)),
            _ => {}
        }
        let one = number("steward-").map(|n| Ends::Stewards(Some(n)));
        one.or_else(|| number("forwarder-").map(|n| Ends::Forwarders(Some(n)))).ok_or_else(|| {
            let what = "expected store, stewards, forwarders, steward-N or forwarder-N";
            serde::de::Error::custom(format!("{text}: {what}"))
        })
    }
}

/// A fault and when to inject it. Targets that the file doesn't name are drawn from the day's seed.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// Counted from when clients begin.
    pub at: Span,
    pub what: FaultKind,
}

impl<'de> Deserialize<'de> for ScheduledFault {
    /// Removes `at` from the map first, so that unknown fields among the rest are refused.
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<ScheduledFault, D::Error> {
        use serde::de::Error;
        let mut map = serde_json::Map::deserialize(from)?;
        let at = map.remove("at").ok_or_else(|| D::Error::missing_field("at"))?;
        let at = serde_json::from_value(at).map_err(D::Error::custom)?;
        let what = serde_json::from_value(map.into()).map_err(D::Error::custom)?;
        Ok(ScheduledFault { at, what })
    }
}

/// The faults that a day can inject. Their debug form is written to the capture, so variants and fields keep their names.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what", deny_unknown_fields)]
pub enum FaultKind {
    /// Servers are listed as draining, finish their work, and leave after `stay`.
    Drain { servers: usize, stay: Span },
    /// A rolling deploy: `at_once` servers at a time drain and leave after `stay`, and each is replaced by a cold one.
    Deploy { servers: usize, at_once: usize, every: Span, stay: Span },
    /// Servers die, leave the list, and come back cold.
    Kill { servers: usize, back_after: Span },
    /// Servers accept connections but never respond, while the list has them as ready.
    Hang { servers: usize, lasts: Span },
    /// All servers restart, spread over `within`, and come back cold.
    RestartAll { within: Span },
    /// All servers of the zone with this index die and come back cold.
    LoseZone { zone: usize, back_after: Span },
    /// Servers fail a share of their reqs, or of those of one kind, with an error or (`silent`) without any response.
    Fail {
        servers: usize,
        share: f64,
        kind: Option<String>,
        #[serde(default)]
        silent: bool,
        lasts: Span,
    },
    /// Servers report a false load.
    FalseLoad { servers: usize, says: f64, lasts: Span },
    /// Connections to servers take this long to become usable.
    SlowConnects { servers: usize, by: Span, lasts: Span },
    /// The list leaves out servers that are up.
    ListDrops { servers: usize, lasts: Span },
    /// The list leaves servers out and shows them again, in turns of `every`.
    ListFlaps { servers: usize, every: Span, lasts: Span },
    /// The list is empty.
    ListEmpty { lasts: Span },
    /// The list's file is truncated.
    ListTorn { lasts: Span },
    /// Streams between forwarders and stewards are closed.
    CutStreams { forwarders: usize },
    /// Forwarders can't reach any steward.
    Isolate { forwarders: usize, lasts: Span },
    /// Forwarders receive nothing on their streams.
    Deafen { forwarders: usize, lasts: Span },
    /// Forwarders are killed and started again.
    KillForwarders { forwarders: usize, back_after: Span },
    /// Forwarders are stopped by SIGSTOP and continued.
    PauseForwarders { forwarders: usize, lasts: Span },
    /// All forwarders are killed and restarted one by one.
    RollForwarders { every: Span },
    /// Stewards are killed and started again: those in `which`, or else `stewards` of them at random.
    KillSteward {
        back_after: Span,
        #[serde(default)]
        which: Vec<usize>,
        #[serde(default = "one")]
        stewards: usize,
    },
    /// Stewards are stopped by SIGSTOP and continued.
    PauseSteward {
        lasts: Span,
        #[serde(default)]
        which: Vec<usize>,
        #[serde(default = "one")]
        stewards: usize,
    },
    /// Stewards alternate: they run for `on` and are stopped for `off`.
    CrawlSteward {
        on: Span,
        off: Span,
        lasts: Span,
        #[serde(default)]
        which: Vec<usize>,
        #[serde(default = "one")]
        stewards: usize,
    },
    /// All stewards are shut down in order and started again, one by one.
    RollStewards { every: Span },
    /// Random faults of stewards: they are killed, stopped, or cut off from the store or from forwarders, and recover.
    VexStewards { every: Span, lasts: Span },
    /// Stewards can't reach the store.
    CutStore {
        lasts: Span,
        #[serde(default)]
        which: Vec<usize>,
        #[serde(default = "one")]
        stewards: usize,
    },
    /// No forwarder can reach these stewards.
    CutSteward {
        lasts: Span,
        #[serde(default)]
        which: Vec<usize>,
        #[serde(default = "one")]
        stewards: usize,
    },
    /// Forwarders can reach only one steward, drawn for each.
    OneStewardOnly { forwarders: usize, lasts: Span },
    /// Changes the links from some endpoints to others, in this direction only.
    Way { from: Vec<Ends>, to: Vec<Ends>, how: How, lasts: Span },
    /// What a steward sends to forwarders is held back, and arrives when the fault ends.
    HoldSteward { steward: usize, lasts: Span },
    /// The store is unavailable, and comes back with its data.
    StoreAway { lasts: Span },
    /// The store delays each call by this long.
    StoreSlow { by: Span, lasts: Span },
    /// The store drops the membership lease of a steward early.
    LoseMember,
    /// New servers start, cold.
    Grow { servers: usize },
    /// The request rate of clients is multiplied by `times`.
    Overload { times: f64, lasts: Span },
}

fn one() -> usize {
    1
}

impl Day {
    /// The number of stewards; 1 if the record is embedded rather than in a shared store.
    pub fn stewards(&self) -> usize {
        let shared = self.steward.get("store").is_some_and(|store| store == "etcd");
        let count = self.steward.get("stewards").and_then(|count| count.as_u64()).unwrap_or(1);
        if shared {
            count as usize
        } else {
            1
        }
    }

    /// Reads and checks a day. The error starts with the file, line and column.
    pub fn load(path: &Path) -> Result<Day, String> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| format!("{}:1:1: can't be read: {e}", path.display()))?;
        let day: Day = serde_saphyr::from_str(&text).map_err(|error| {
            let (line, column) = error.location().map_or((1, 1), |place| (place.line(), place.column()));
            let what = error.without_snippet().to_string();
            format!("{}:{line}:{column}: {}", path.display(), what.lines().next().unwrap_or("not a day"))
        })?;
        day.check().map_err(|what| format!("{}:1:1: {what}", path.display()))?;
        Ok(day)
    }

    fn check(&self) -> Result<(), String> {
        let positive = [
            ("servers.count", self.servers.count),
            ("servers.zones", self.servers.zones.len()),
            ("servers.speeds", self.servers.speeds.len()),
            ("servers.cores", self.servers.cores),
            ("forwarders.count", self.forwarders.count),
            ("clients.shares", self.clients.shares.len()),
        ];
        if let Some((name, _)) = positive.into_iter().find(|&(_, count)| count == 0) {
            return Err(format!("{name}: expected one or more"));
        }
        if !(self.clients.rate > 0.0 && self.clients.rate <= 100_000.0 && self.length.0 > 0) {
            return Err("clients.rate and length: expected more than 0".to_owned());
        }
        let bad = |share: &f64| !(share.is_finite() && *share >= 0.0);
        if self.clients.shares.values().any(bad)
            || self.servers.speeds.iter().any(|&speed| bad(&speed) || speed == 0.0)
        {
            return Err("clients.shares and servers.speeds: expected numbers above 0".to_owned());
        }
        self.datagrams.check().map_err(|what| format!("datagrams: {what}"))?;
        for fault in &self.faults {
            let FaultKind::Way { from, to, how, .. } = &fault.what else { continue };
            how.check()?;
            let known = |ends: &Ends| match *ends {
                Ends::Stewards(Some(n)) => n < self.stewards(),
                Ends::Forwarders(Some(n)) => n < self.forwarders.count,
                _ => true,
            };
            if let Some(end) = from.iter().chain(to).find(|end| !known(end)) {
                return Err(format!("way: {end:?}: there is no such process"));
            }
        }
        if let Some(kind) = self.clients.shares.keys().find(|kind| !self.clients.work.contains_key(*kind)) {
            return Err(format!("clients.work: {kind} is missing"));
        }
        Ok(())
    }
}
