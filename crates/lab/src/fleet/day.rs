//! The settings of a day for the view: stewards, faults and the judge's bounds.

use std::path::Path;

use serde::Deserialize;

use crate::day::Span;

/// A day file for the view of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDay {
    /// What the day is meant to show.
    pub about: String,
    pub seed: u64,
    pub fleet: FleetSettings,
    pub faults: Vec<ScheduledFault>,
    pub judge: Bounds,
}

/// The stewards of the day and how their view is set up.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    pub stewards: usize,
    /// Protocol period of the view, `fleet.round` of the settings.
    pub round: Span,
    /// Stewards whose addresses are in the settings of all stewards.
    pub seeds: Vec<usize>,
    /// How many addresses without a listener come before these in the settings.
    #[serde(default)]
    pub dead_seeds: usize,
    /// Stewards that are not started at the beginning but by a fault.
    #[serde(rename = "later", default)]
    pub started_later: Vec<usize>,
    /// The share of datagrams lost on every link.
    #[serde(default)]
    pub loss: f64,
    /// Parts of the view that are switched off with `ravenspar serve --without`, to show that the judge notices.
    #[serde(rename = "without", default)]
    pub disabled: Vec<String>,
}

/// Bounds of the judge's rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// V1: time from the last fault until all stewards that reach each other show the same view.
    pub settles_within: Span,
    /// V3: how often the view of a steward may change after the fleet has first settled. It is checked for stewards without a
    /// fault or, if there are none, for those that were never restarted.
    #[serde(rename = "changes_most")]
    pub max_changes: u64,
    /// V5: bytes that a steward may send in any second.
    #[serde(rename = "bytes_most")]
    pub max_bytes_per_s: u64,
    /// V5: datagrams that a steward may send in any second.
    #[serde(rename = "datagrams_most")]
    pub max_datagrams_per_s: u64,
    /// Stewards with a link or process so bad that the view may include or omit them.
    #[serde(rename = "loose", default)]
    pub unreliable_members: Vec<usize>,
    /// Stewards that V2 covers although they have a fault: it ends before they may be dropped for it.
    #[serde(rename = "keeps", default)]
    pub must_keep: Vec<usize>,
}

/// A fault and when it is injected. Unknown fields are rejected by [`FaultKind`], which gets all fields but `at`.
#[derive(Clone, Debug, Deserialize)]
pub struct ScheduledFault {
    /// Time since the fleet first settled.
    pub at: Span,
    #[serde(flatten)]
    pub what: FaultKind,
}

/// A fault that the lab injects.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// Kills stewards (SIGKILL).
    Crash { stewards: Vec<usize> },
    /// Starts those of these stewards that don't run.
    Start { stewards: Vec<usize> },
    /// Terminates stewards gracefully.
    Leave { stewards: Vec<usize> },
    /// Kills stewards and restarts them at once, at another address if `moved`.
    Restart {
        stewards: Vec<usize>,
        #[serde(default)]
        moved: bool,
    },
    /// Blocks all traffic between these stewards and the rest.
    Split {
        side: Vec<usize>,
        #[serde(rename = "for")]
        lasts: Span,
    },
    /// Blocks traffic from one group to another, in this direction only.
    Cut {
        from: Vec<usize>,
        to: Vec<usize>,
        #[serde(rename = "for")]
        lasts: Span,
    },
    /// Loses a share of the datagrams from and to these stewards; with `late`, delays the others by a random time up to it,
    /// which also reorders them.
    Lose {
        stewards: Vec<usize>,
        share: f64,
        #[serde(default)]
        late: Span,
        #[serde(rename = "for")]
        lasts: Span,
    },
    /// Pauses stewards (SIGSTOP, then SIGCONT).
    Stop {
        stewards: Vec<usize>,
        #[serde(rename = "for")]
        lasts: Span,
    },
    /// Alternates between running for `on` and being paused for `off`.
    Crawl {
        stewards: Vec<usize>,
        on: Span,
        off: Span,
        #[serde(rename = "for")]
        lasts: Span,
    },
    /// Injects overlapping faults of random kinds, drawn from the seed.
    Storm {
        #[serde(rename = "faults")]
        count: usize,
        #[serde(rename = "for")]
        lasts: Span,
    },
}

impl FaultKind {
    /// How long the fault lasts; 0 if it is a single action.
    pub fn lasts(&self) -> Span {
        match self {
            FaultKind::Split { lasts, .. }
            | FaultKind::Cut { lasts, .. }
            | FaultKind::Lose { lasts, .. }
            | FaultKind::Stop { lasts, .. }
            | FaultKind::Crawl { lasts, .. }
            | FaultKind::Storm { lasts, .. } => *lasts,
            _ => Span(0),
        }
    }

    /// The stewards that the fault names. For a split this is one side, although it affects both.
    fn affected(&self) -> Vec<usize> {
        match self {
            FaultKind::Crash { stewards }
            | FaultKind::Start { stewards }
            | FaultKind::Leave { stewards }
            | FaultKind::Restart { stewards, .. }
            | FaultKind::Lose { stewards, .. }
            | FaultKind::Stop { stewards, .. }
            | FaultKind::Crawl { stewards, .. } => stewards.clone(),
            FaultKind::Split { side, .. } => side.clone(),
            FaultKind::Cut { from, to, .. } => from.iter().chain(to).copied().collect(),
            FaultKind::Storm { .. } => Vec::new(),
        }
    }
}

impl FleetDay {
    /// Returns true if the file holds a day of this kind.
    pub fn recognizes(path: &Path) -> bool {
        crate::day::has_entry(path, "fleet")
    }

    /// Reads and checks a day file. The error names the file and what was expected.
    pub fn load(path: &Path) -> Result<FleetDay, String> {
        let shown = path.display();
        let day: FleetDay = crate::day::read_yaml(path)?;
        let count = day.fleet.stewards;
        if !(2..=25).contains(&count) {
            return Err(format!("{shown}: fleet.stewards: {count}: expected 2 to 25"));
        }
        let affected = day.faults.iter().flat_map(|fault| fault.what.affected());
        let all = affected
            .chain(day.fleet.seeds.clone())
            .chain(day.fleet.started_later.clone())
            .chain(day.judge.unreliable_members.clone());
        if let Some(unknown) = all.into_iter().find(|n| *n >= count) {
            return Err(format!("{shown}: steward {unknown}: expected 0 to {}", count - 1));
        }
        let shares = day.faults.iter().filter_map(|fault| match fault.what {
            FaultKind::Lose { share, .. } => Some(share),
            _ => None,
        });
        if let Some(share) = shares.chain([day.fleet.loss]).find(|share| !(0.0..=1.0).contains(share)) {
            return Err(format!("{shown}: share: {share}: expected 0 to 1"));
        }
        Ok(day)
    }

    /// Stewards that no fault affects; a split or a storm affects all.
    pub fn unaffected(&self) -> Vec<usize> {
        let affects_all =
            |what: &FaultKind| matches!(what, FaultKind::Storm { .. } | FaultKind::Split { .. });
        if self.faults.iter().any(|fault| affects_all(&fault.what)) {
            return Vec::new();
        }
        // A cut between one steward and several others affects only the one: the others are as healthy as before.
        let affected = self.faults.iter().flat_map(|fault| match &fault.what {
            FaultKind::Cut { from, to, .. } if from.len() == 1 && to.len() > 1 => from.clone(),
            FaultKind::Cut { from, to, .. } if to.len() == 1 && from.len() > 1 => to.clone(),
            // Other cuts affect no steward, as there are ways around them.
            FaultKind::Cut { .. } => Vec::new(),
            what => what.affected(),
        });
        let affected: Vec<usize> = affected
            .chain(self.fleet.started_later.clone())
            .chain(self.judge.unreliable_members.clone())
            .collect();
        let must_keep = &self.judge.must_keep;
        (0..self.fleet.stewards).filter(|n| must_keep.contains(n) || !affected.contains(n)).collect()
    }
}
