//! A day as its file says it: the fleet, the load, and what goes wrong when.

use std::collections::BTreeMap;
use std::path::Path;

use ravenspar::yaml;
use ravenspar_standin::{Time, SECOND};
use serde::{Deserialize, Deserializer};

/// A span of time as `4s` or `250ms`.
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

/// Whether a file has this entry, which says what kind of day it is.
pub fn has(path: &Path, entry: &str) -> bool {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    serde_saphyr::from_str::<serde_json::Value>(&text).is_ok_and(|day| day.get(entry).is_some())
}

/// Reads a day of this kind. Fails with what was expected and where.
pub fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    serde_saphyr::from_str(&text).map_err(|e| format!("{shown}: {e}"))
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// What the day is to show.
    pub about: String,
    pub seed: u64,
    /// How long clients send.
    pub length: Span,
    /// The steward's settings, but for `listen`, `record` and `list`, which the lab adds.
    pub steward: serde_json::Value,
    pub servers: Servers,
    pub forwarders: Forwarders,
    pub clients: Clients,
    /// Stewards that stop themselves at a point, and for how long.
    #[serde(default)]
    pub pauses: Vec<Pause>,
    /// Between what happens to a server and what the list says of it.
    pub notice: Span,
    /// Whether stewards keep a view of the fleet among themselves.
    #[serde(default)]
    pub view: bool,
    /// What befalls each datagram between them.
    #[serde(default)]
    pub datagrams: How,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    pub count: usize,
    pub zones: Vec<String>,
    pub cores: usize,
    /// Dealt out in turn.
    pub speeds: Vec<f64>,
    pub queue: usize,
    pub connections: usize,
    pub cold_from: f64,
    pub cold_for: Span,
    pub fall_multiple: f64,
    pub fall_for: Span,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Forwarders {
    pub count: usize,
    /// Microseconds that a forwarder stands still for each line.
    #[serde(default)]
    pub stall_us: u64,
    #[serde(default)]
    pub away_after: u32,
    #[serde(default)]
    pub away_for: Span,
    /// Those that answer marks without letting go of any slice that they have an owner for.
    #[serde(default)]
    pub liars: Vec<usize>,
    /// Those that take in whatever comes last, and any lease for any slice, as if there were no terms.
    #[serde(default)]
    pub ignore_terms: Vec<usize>,
    /// A forwarder that stops itself between the pick and the send of its nth write, and for how long.
    #[serde(default)]
    pub stops: Option<Stops>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pause {
    pub steward: usize,
    /// As `ravenspar serve --pause` has it.
    pub at: String,
    #[serde(rename = "for")]
    pub lasts: Span,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stops {
    pub forwarder: usize,
    pub write: u64,
    #[serde(rename = "for")]
    pub lasts: Span,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries a second.
    pub rate: f64,
    pub keys: u64,
    #[serde(default)]
    pub skew: f64,
    pub retries: u64,
    pub retry_after: Span,
    /// By request kind.
    pub shares: BTreeMap<String, f64>,
    /// By request kind: mean work on a core of speed 1.
    pub work: BTreeMap<String, Span>,
}

/// How a way is in one direction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct How {
    /// Nothing passes; streams stay open and silent.
    #[serde(default)]
    pub cut: bool,
    /// Nothing passes; streams end, and new ones find nobody.
    #[serde(default)]
    pub closed: bool,
    /// The share that is lost; of a stream that comes again, later.
    #[serde(default)]
    pub lost: f64,
    /// The share of datagrams that come twice.
    #[serde(default)]
    pub doubled: f64,
    /// Each is up to so much later; datagrams get out of order by it.
    #[serde(default)]
    pub late: Span,
    /// What passes at most.
    #[serde(default)]
    pub bytes_per_s: Option<u32>,
}

impl How {
    fn check(&self) -> Result<(), String> {
        let share = |of: f64| (0.0..=1.0).contains(&of);
        match share(self.lost) && share(self.doubled) && self.bytes_per_s != Some(0) {
            true => Ok(()),
            false => Err("lost and doubled: expected shares from 0 to 1, bytes_per_s: 1 or more".to_owned()),
        }
    }
}

/// Some ends of ways: `store`, `stewards`, `forwarders`, or one of them as `steward-2`.
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

/// One piece of trouble: when, what, on which part of the fleet. Targets are drawn from the day's seed.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// From when clients begin.
    pub at: Span,
    pub what: What,
}

impl<'de> Deserialize<'de> for Trouble {
    /// Takes `at` out of the map, so that what is left can be refused where it is unknown.
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Trouble, D::Error> {
        use serde::de::Error;
        let mut map = serde_json::Map::deserialize(from)?;
        let at = map.remove("at").ok_or_else(|| D::Error::missing_field("at"))?;
        let at = serde_json::from_value(at).map_err(D::Error::custom)?;
        let what = serde_json::from_value(map.into()).map_err(D::Error::custom)?;
        Ok(Trouble { at, what })
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what", deny_unknown_fields)]
pub enum What {
    /// Servers are listed as draining, finish, and go after `stay`.
    Drain { servers: usize, stay: Span },
    /// A rolling deploy: some at a time drain, go after `stay`, and a successor comes up cold for each.
    Deploy { servers: usize, at_once: usize, every: Span, stay: Span },
    /// Servers die, the list hears of it, and they come back cold.
    Kill { servers: usize, back_after: Span },
    /// Servers accept and say nothing, and the list shows them as ready.
    Hang { servers: usize, lasts: Span },
    /// All servers restart within a time and come back cold.
    RestartAll { within: Span },
    /// All servers of a zone, the nth of them, die and come back cold.
    LoseZone { zone: usize, back_after: Span },
    /// Servers fail a share of their reqs, of one kind where named, at once or by silence.
    Fail {
        servers: usize,
        share: f64,
        kind: Option<String>,
        #[serde(default)]
        silent: bool,
        lasts: Span,
    },
    /// Servers say of their load what isn't so.
    FalseLoad { servers: usize, says: f64, lasts: Span },
    /// Connections to servers take this long to be of use.
    SlowConnects { servers: usize, by: Span, lasts: Span },
    /// The list leaves out servers that live.
    ListDrops { servers: usize, lasts: Span },
    /// The list shows servers now and then.
    ListFlaps { servers: usize, every: Span, lasts: Span },
    /// The list shows none.
    ListEmpty { lasts: Span },
    /// The list's file is cut off in the middle.
    ListTorn { lasts: Span },
    /// Streams between forwarders and the steward break.
    CutStreams { forwarders: usize },
    /// Forwarders reach no steward.
    Isolate { forwarders: usize, lasts: Span },
    /// Forwarders read nothing of their streams.
    Deafen { forwarders: usize, lasts: Span },
    /// Forwarders are killed and started again.
    KillForwarders { forwarders: usize, back_after: Span },
    /// Forwarders are stopped, as by SIGSTOP, and continued.
    PauseForwarders { forwarders: usize, lasts: Span },
    /// All forwarders are restarted one after the other.
    RollForwarders { every: Span },
    /// Stewards are killed and started again: these, or so many drawn, or one.
    KillSteward {
        back_after: Span,
        #[serde(default)]
        which: Vec<usize>,
        #[serde(default = "one")]
        stewards: usize,
    },
    /// Stewards are stopped and continued.
    PauseSteward {
        lasts: Span,
        #[serde(default)]
        which: Vec<usize>,
        #[serde(default = "one")]
        stewards: usize,
    },
    /// Stewards run for `on` and stand still for `off`, again and again.
    CrawlSteward {
        on: Span,
        off: Span,
        lasts: Span,
        #[serde(default)]
        which: Vec<usize>,
        #[serde(default = "one")]
        stewards: usize,
    },
    /// All stewards, one after the other, end in order and are started again.
    RollStewards { every: Span },
    /// Until the end stewards are killed, stopped, cut off from the store or from forwarders, and revived, at random.
    VexStewards { every: Span, lasts: Span },
    /// Stewards don't reach the store.
    CutStore {
        lasts: Span,
        #[serde(default)]
        which: Vec<usize>,
        #[serde(default = "one")]
        stewards: usize,
    },
    /// No forwarder reaches these stewards.
    CutSteward {
        lasts: Span,
        #[serde(default)]
        which: Vec<usize>,
        #[serde(default = "one")]
        stewards: usize,
    },
    /// Forwarders reach one steward alone.
    OneStewardOnly { forwarders: usize, lasts: Span },
    /// Ways from these to those, this direction alone.
    Way { from: Vec<Ends>, to: Vec<Ends>, how: How, lasts: Span },
    /// What a steward sends is held up on the way, and arrives when that ends.
    HoldSteward { steward: usize, lasts: Span },
    /// The store answers nobody, and goes on with what it held.
    StoreAway { lasts: Span },
    /// The store takes this long for each call.
    StoreSlow { by: Span, lasts: Span },
    /// The store loses the membership of a steward before its time.
    LoseMember,
    /// New servers are switched on, cold.
    Grow { servers: usize },
    /// Clients send so many times as much.
    Overload { times: f64, lasts: Span },
}

fn one() -> usize {
    1
}

impl Day {
    /// How many stewards share; 1 where the record is embedded.
    pub fn stewards(&self) -> usize {
        let shared = self.steward.get("store").is_some_and(|store| store == "etcd");
        let count = self.steward.get("stewards").and_then(|count| count.as_u64()).unwrap_or(1);
        if shared {
            count as usize
        } else {
            1
        }
    }

    /// Fails with all that is wrong, each line with its place.
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
        for trouble in &self.troubles {
            let What::Way { from, to, how, .. } = &trouble.what else { continue };
            how.check()?;
            let known = |ends: &Ends| match *ends {
                Ends::Stewards(Some(n)) => n < self.stewards(),
                Ends::Forwarders(Some(n)) => n < self.forwarders.count,
                _ => true,
            };
            if let Some(end) = from.iter().chain(to).find(|end| !known(end)) {
                return Err(format!("way: {end:?}: there is none of this number"));
            }
        }
        if let Some(kind) = self.clients.shares.keys().find(|kind| !self.clients.work.contains_key(*kind)) {
            return Err(format!("clients.work: {kind} is missing"));
        }
        Ok(())
    }
}
