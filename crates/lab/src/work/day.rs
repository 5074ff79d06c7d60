//! The settings of a day with work: stewards, sites with agents, jobs, faults and the judge's bounds.

use std::path::Path;

use serde::Deserialize;

use crate::day::Span;

/// A day file with work for the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkDay {
    /// What the day is meant to show.
    pub about: String,
    pub seed: u64,
    pub work: Work,
    #[serde(default, rename = "troubles")]
    pub faults: Vec<ScheduledFault>,
    pub judge: Bounds,
}

/// The processes of the day, their settings and their jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    pub stewards: usize,
    pub sites: usize,
    /// Jobs that a site runs at a time.
    #[serde(rename = "room", default = "Work::capacity")]
    pub capacity: usize,
    /// Lease of a steward's membership at the store.
    #[serde(default = "Work::lease")]
    pub member_lease: Span,
    /// Lease of a site at the store.
    #[serde(default = "Work::lease")]
    pub site_lease: Span,
    /// How long a new site counts as cold.
    #[serde(rename = "cold", default = "Work::cold_period")]
    pub cold_period: Span,
    /// `jobs.again` of the stewards' settings.
    #[serde(rename = "again", default = "Work::retry_delay")]
    pub retry_delay: Span,
    /// `jobs.most_gone` of the stewards' settings.
    #[serde(rename = "most_gone", default = "Work::mass_loss_delay")]
    pub mass_loss_delay: Span,
    /// `jobs.attempts` of the stewards' settings.
    #[serde(rename = "attempts", default = "Work::max_attempts")]
    pub max_attempts: u32,
    pub jobs: Vec<Jobs>,
    /// Settings of the debts duty; `None` leaves that duty out.
    #[serde(default)]
    pub debts: Option<Debts>,
    /// The point at which the first process of each steward dies, as in `ravenspar serve --halt`; it is then restarted.
    #[serde(default)]
    pub halt: Option<String>,
    /// The point at which the first process of each steward stops itself, as in `--pause`; it is continued after `pause_for`.
    #[serde(default)]
    pub pause: Option<String>,
    #[serde(default = "Work::pause_for")]
    pub pause_for: Span,
    /// A site and a call number n: the site's agent stops itself at its nth call to the effects service, after it has
    /// checked its lease and before it sends the call. It is continued after `pause_for`.
    #[serde(default)]
    pub pause_site: Option<(usize, u64)>,
    /// Offset of each steward's wall clock at its first start. It is multiplied by the number of the start.
    #[serde(rename = "clocks", default)]
    pub clock_offsets_s: Vec<i64>,
    /// Sites whose agents report their uses repeatedly and to every steward.
    #[serde(rename = "doubles", default)]
    pub repeats_uses: Vec<usize>,
    /// Sites with a faulty agent that keeps working after its lease has expired.
    #[serde(default)]
    pub ignores_lease: Vec<usize>,
    /// Sites with a faulty agent that forgets the outcomes of its jobs.
    #[serde(rename = "forgets", default)]
    pub forgets_outcomes: Vec<usize>,
    /// The effects service keeps no state, so it can't reject calls with an old token.
    #[serde(rename = "effects_forget", default)]
    pub effects_without_memory: bool,
}

impl Default for Work {
    fn default() -> Work {
        Work {
            stewards: 1,
            sites: 1,
            capacity: Work::capacity(),
            member_lease: Work::lease(),
            site_lease: Work::lease(),
            cold_period: Work::cold_period(),
            retry_delay: Work::retry_delay(),
            mass_loss_delay: Work::mass_loss_delay(),
            max_attempts: Work::max_attempts(),
            jobs: Vec::new(),
            debts: None,
            halt: None,
            pause: None,
            pause_for: Work::pause_for(),
            pause_site: None,
            clock_offsets_s: Vec::new(),
            repeats_uses: Vec::new(),
            ignores_lease: Vec::new(),
            forgets_outcomes: Vec::new(),
            effects_without_memory: false,
        }
    }
}

impl Work {
    fn capacity() -> usize {
        4
    }

    fn lease() -> Span {
        Span(30_000)
    }

    fn cold_period() -> Span {
        Span(2_000)
    }

    fn retry_delay() -> Span {
        Span(2_000)
    }

    fn mass_loss_delay() -> Span {
        Span(50_000)
    }

    fn pause_for() -> Span {
        Span(60_000)
    }

    fn max_attempts() -> u32 {
        8
    }
}

/// Settings of the debts duty.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Debts {
    pub half_life: Span,
    pub epoch: Span,
    /// Users' weights as `user=weight`, as in a steward's settings.
    #[serde(default)]
    pub users: Vec<String>,
}

/// A series of equal jobs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Jobs {
    pub count: usize,
    pub user: String,
    #[serde(default)]
    pub group: String,
    /// When the first job is submitted.
    #[serde(default)]
    pub from: Span,
    /// The interval between two jobs.
    #[serde(default)]
    pub every: Span,
    pub steps: u64,
    pub step: Span,
    /// The jobs end as failed.
    #[serde(default)]
    pub fails: bool,
    /// The jobs kill the agent that runs them.
    #[serde(default)]
    pub poison: bool,
}

/// Bounds of the judge's rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// J2: time from the last fault or submission until all jobs have ended.
    #[serde(rename = "over_within")]
    pub finished_within: Span,
    /// D3: the longest time without a leader, or with one that a fault keeps from acting.
    #[serde(rename = "without_owner_most")]
    pub max_time_without_leader: Span,
    /// D4: how often the leader may change.
    #[serde(rename = "changes_most")]
    pub max_leader_changes: usize,
    /// J4: time from the deletion of a site's key until each of its jobs is assigned again; 0 switches the check off.
    #[serde(default, rename = "again_within")]
    pub reassigned_within: Span,
    /// J2: the exact number of jobs that are parked.
    #[serde(default)]
    pub parked: usize,
    /// The least number of calls that the effects service has to refuse for the day to have tested what it is for.
    #[serde(default, rename = "refused_least")]
    pub min_refused: usize,
    /// S1: how many uses may be missing because their site was lost before it had reported them all.
    #[serde(default, rename = "uses_lost_most")]
    pub max_uses_lost: usize,
    /// J6: the longest time that a job may wait; 0 switches the check off.
    #[serde(default, rename = "wait_most")]
    pub max_wait: Span,
    /// J6: users that get site time in proportion to their weights while all of them have jobs waiting.
    #[serde(default, rename = "even")]
    pub equal_users: Vec<String>,
    /// J6: the relative deviation allowed for `equal_users`.
    #[serde(default, rename = "even_within")]
    pub share_tolerance: f64,
    /// Sites exempt from J3: they are paused or faulty, and their late calls are refused.
    #[serde(default, rename = "late")]
    pub late_sites: Vec<usize>,
}

/// A fault and when it is injected.
#[derive(Clone, Debug, Deserialize)]
pub struct ScheduledFault {
    /// Time since all sites were connected.
    pub at: Span,
    #[serde(flatten)]
    pub what: FaultKind,
}

/// A fault that the lab injects. Targets are `steward-N`, `site-N`, `stewards`, `sites`, `owner` (the leader of the jobs
/// duty), `others` (all stewards but the leader), `holder` (the site that holds the first leased job), `store` and
/// `effects`; roles are resolved from the store when the fault begins.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// Kills processes (SIGKILL) and restarts them after `back`, if given.
    Kill {
        who: Vec<String>,
        #[serde(default)]
        back: Option<Span>,
    },
    /// Terminates processes gracefully and restarts them after `back`, if given.
    Leave {
        who: Vec<String>,
        #[serde(default)]
        back: Option<Span>,
    },
    /// Pauses processes (SIGSTOP, then SIGCONT).
    Stop {
        who: Vec<String>,
        #[serde(rename = "for")]
        lasts: Span,
    },
    /// Alternates between running for `on` and being paused for `off`.
    Crawl {
        who: Vec<String>,
        on: Span,
        off: Span,
        #[serde(rename = "for")]
        lasts: Span,
    },
    /// Delays traffic in both directions by a random time up to `late`; datagrams may be reordered by it.
    Slow {
        from: Vec<String>,
        to: Vec<String>,
        late: Span,
        #[serde(rename = "for")]
        lasts: Span,
    },
    /// Blocks traffic in both directions, or only from `from` to `to` with `one_way`.
    Cut {
        from: Vec<String>,
        to: Vec<String>,
        #[serde(default)]
        one_way: bool,
        #[serde(rename = "for")]
        lasts: Span,
    },
    /// Makes the store unavailable.
    Away {
        #[serde(rename = "for")]
        lasts: Span,
    },
    /// Executes the next `count` transactions late, after their callers have got an unknown result.
    Late { count: u32, by: Span },
    /// Executes the next `count` transactions and drops their responses.
    LoseAnswers { count: u32 },
    /// Restarts all stewards gracefully, one after the other.
    Roll { every: Span },
    /// Cancels all jobs of `user`.
    Cancel { user: String },
    /// Injects overlapping faults of random kinds, drawn from the seed.
    Storm {
        #[serde(rename = "faults")]
        count: usize,
        #[serde(rename = "for")]
        lasts: Span,
    },
}

impl WorkDay {
    /// Returns true if the file holds a day of this kind.
    pub fn recognizes(path: &Path) -> bool {
        crate::day::has_entry(path, "work")
    }

    /// Reads and checks a day file. The error names the file and what was expected.
    pub fn load(path: &Path) -> Result<WorkDay, String> {
        let shown = path.display();
        let day: WorkDay = crate::day::read_yaml(path)?;
        let (stewards, sites) = (day.work.stewards, day.work.sites);
        if !(1..=9).contains(&stewards) || !(1..=200).contains(&sites) {
            return Err(format!("{shown}: expected 1 to 9 stewards and 1 to 200 sites"));
        }
        let whole_seconds = |span: Span| span.0 > 0 && span.0 % 10_000 == 0;
        if !whole_seconds(day.work.member_lease) || !whole_seconds(day.work.site_lease) {
            return Err(format!("{shown}: expected leases of whole seconds"));
        }
        let numbered = |name: &str, kind: &str, most: usize| {
            name.strip_prefix(kind).and_then(|n| n.parse::<usize>().ok()).is_some_and(|n| n < most)
        };
        let is_known = |name: &&String| {
            ["stewards", "sites", "owner", "others", "holder", "store", "effects"].contains(&name.as_str())
                || numbered(name, "steward-", stewards)
                || numbered(name, "site-", sites)
        };
        for fault in &day.faults {
            let names: Vec<&String> = match &fault.what {
                FaultKind::Kill { who, .. }
                | FaultKind::Leave { who, .. }
                | FaultKind::Stop { who, .. }
                | FaultKind::Crawl { who, .. } => who.iter().collect(),
                FaultKind::Cut { from, to, .. } | FaultKind::Slow { from, to, .. } => {
                    from.iter().chain(to).collect()
                }
                _ => Vec::new(),
            };
            if let Some(unknown) = names.iter().find(|name| !is_known(name)) {
                return Err(format!(
                    "{shown}: {unknown}: expected steward-N, site-N, owner, others, holder and the like"
                ));
            }
        }
        Ok(day)
    }
}
