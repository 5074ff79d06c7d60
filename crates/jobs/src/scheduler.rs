//! The decisions of the duty's leader: which leases have ended, which job goes to which site next, and which jobs are
//! given up.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::{Incarnation, Job, JobLine, State, Time};

/// A site as the store has it. Its key exists as long as the lease of its incarnation does.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Site {
    pub incarnation: Incarnation,
    pub name: String,
    /// The number of jobs that it can run at a time.
    pub room: usize,
}

/// Limits, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// The number of jobs known at a time. Further jobs are ignored until others are gone.
    pub jobs: usize,
    /// How often a job is leased before it is parked.
    pub attempts: u32,
    /// The delay before the second attempt; it doubles with each further one.
    pub retry_delay: Time,
    /// How long a site is cold after it was first seen: until then it gets a quarter of its capacity.
    pub cold_period: Time,
    /// How long leases are left alone after most sites were lost at once.
    pub mass_loss_delay: Time,
    /// A job that has waited this long goes first, whatever its user owes.
    pub max_wait: Time,
    /// The number of lines written in one transaction.
    pub writes: usize,
}

/// A line to write, if the line and the site's key at the store are as stated here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    pub job: String,
    /// The line's revision; 0 if there is none.
    pub seen: u64,
    pub line: JobLine,
    /// The site whose key must exist (the job is leased to it).
    pub there: Option<Incarnation>,
    /// The site whose key must be gone (its lease is ended).
    pub gone: Option<Incarnation>,
    /// The line is deleted: the job is over, and its submitter has deleted it.
    pub delete: bool,
}

/// Metrics of the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Metrics {
    /// The number of jobs known, and how many of them are waiting, held and parked.
    pub jobs: usize,
    pub waiting: usize,
    pub held: usize,
    pub parked: usize,
    /// Jobs ignored since they were past the limit.
    pub left_out: u64,
    /// Leases of lost sites are left alone at the moment, as most sites were lost at once.
    pub held_back: bool,
    pub given: u64,
    pub ended: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    job: Option<Job>,
    /// Why the job can't be read, if it can't.
    unreadable: Option<String>,
    /// All jobs were read, and this one was not among them.
    missing: bool,
    /// The revision at which it was submitted: its age.
    created: u64,
    line: Option<(JobLine, u64)>,
    /// When it was first seen waiting, and the time before which it is not leased.
    since: Time,
    not_before: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownSite {
    site: Site,
    /// When it was first seen, and how many jobs it holds according to the lines.
    since: Time,
    held: usize,
    /// Jobs leased to it since it was first seen, which bounds what it gets while it is cold.
    given_cold: usize,
}

/// The scheduler of one term of the duty. Its successor begins with what the store has, and starts every wait again
/// in full.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Scheduler {
    limits: Limits,
    term: u64,
    entries: BTreeMap<String, Entry>,
    sites: BTreeMap<Incarnation, KnownSite>,
    /// Waiting jobs of each user, the oldest first.
    waiting: BTreeMap<String, BTreeSet<(u64, String)>>,
    /// All waiting jobs by when they were first seen waiting, for the limit on the wait.
    oldest: BTreeSet<(Time, u64, String)>,
    /// The number of held jobs of each user.
    held_by_user: BTreeMap<String, usize>,
    /// Jobs held by sites that are gone.
    orphans: BTreeSet<String>,
    /// Jobs that are cancelled, deleted or unreadable, whose lines don't show it yet.
    unwanted: BTreeSet<String>,
    /// The debt of each user with waiting jobs, by the ranking in use.
    debts: BTreeMap<String, u64>,
    /// Those users by debt, where each held job counts with the mean.
    by_debt: BTreeSet<(u64, String)>,
    /// Users with waiting jobs whose debts were not looked up yet.
    unranked: BTreeSet<String>,
    /// The debt that a held job counts as until its use is known: that of a job of mean use.
    mean: u64,
    /// Sites lost lately, and when. By name, as a site that can't receive goes through one incarnation after the
    /// other.
    lost_sites: BTreeMap<String, Time>,
    held_back_until: Time,
    write_pending: bool,
    metrics: Metrics,
}

impl Scheduler {
    /// How close together losses of sites count as one event: sites cut off together are lost within a renewal of one
    /// another.
    const SAME_LOSS_WINDOW: Time = 50_000;

    pub fn new(term: u64, limits: Limits) -> Scheduler {
        Scheduler {
            limits,
            term,
            entries: BTreeMap::new(),
            sites: BTreeMap::new(),
            waiting: BTreeMap::new(),
            oldest: BTreeSet::new(),
            held_by_user: BTreeMap::new(),
            orphans: BTreeSet::new(),
            unwanted: BTreeSet::new(),
            debts: BTreeMap::new(),
            by_debt: BTreeSet::new(),
            unranked: BTreeSet::new(),
            mean: 1,
            lost_sites: BTreeMap::new(),
            held_back_until: Time::MIN,
            write_pending: false,
            metrics: Metrics::default(),
        }
    }

    /// Returns the current metrics.
    pub fn metrics(&self) -> Metrics {
        let parked = |entry: &&Entry| matches!(&entry.line, Some((line, _)) if line.state == State::Parked);
        Metrics {
            jobs: self.entries.len(),
            waiting: self.oldest.len(),
            held: self.held_by_user.values().sum(),
            parked: self.entries.values().filter(parked).count(),
            ..self.metrics
        }
    }

    /// Starts to use another ranking. `mean`: the debt that a held job counts as until its use is known.
    pub fn rank(&mut self, mean: u64) {
        self.mean = mean.max(1);
        self.by_debt.clear();
        self.debts.clear();
        self.unranked = self.waiting.keys().cloned().collect();
    }

    /// The debt of a user including its held jobs.
    fn debt_with_held_jobs(&self, user: &str) -> Option<u64> {
        let held = self.held_by_user.get(user).copied().unwrap_or(0) as u64;
        Some(self.debts.get(user)?.saturating_add(held.saturating_mul(self.mean)))
    }

    /// Adds a user to the order by debt, or takes it out.
    fn update_order(&mut self, user: &str, insert: bool) {
        if let Some(debt) = self.debt_with_held_jobs(user) {
            let debt_and_user = (debt, user.to_owned());
            let _ =
                if insert { self.by_debt.insert(debt_and_user) } else { self.by_debt.remove(&debt_and_user) };
        }
    }

    /// Takes all sites whose keys are at the store.
    pub fn sites(&mut self, now: Time, sites: Vec<Site>) {
        let present: BTreeSet<Incarnation> = sites.iter().map(|site| site.incarnation).collect();
        let mut names: BTreeSet<String> = self.sites.values().map(|known| known.site.name.clone()).collect();
        names.extend(sites.iter().map(|site| site.name.clone()));
        let gone: Vec<Incarnation> =
            self.sites.keys().filter(|incarnation| !present.contains(incarnation)).copied().collect();
        for incarnation in gone {
            // A site that is back under another incarnation at once is not lost.
            if let Some(known) = self.sites.remove(&incarnation) {
                if !sites.iter().any(|site| site.name == known.site.name) {
                    self.lost_sites.insert(known.site.name, now);
                }
            }
            let held =
                |entry: &Entry| entry.line.as_ref().is_some_and(|(line, _)| line.site() == Some(incarnation));
            let orphans = self.entries.iter().filter(|(_, entry)| held(entry));
            let orphans: Vec<String> = orphans.map(|(job, _)| job.clone()).collect();
            self.orphans.extend(orphans);
        }
        self.lost_sites.retain(|_, at| now < *at + Self::SAME_LOSS_WINDOW);
        names.extend(self.lost_sites.keys().cloned());
        // If most sites are lost at once, it is more likely the stewards' own network. The sites come back as new
        // incarnations, with the outcomes of what they did meanwhile; until then the few sites left are not flooded
        // with the jobs of all.
        if names.len() > 1 && 2 * self.lost_sites.len() > names.len() {
            self.held_back_until = self.held_back_until.max(now + self.limits.mass_loss_delay);
        }
        for site in sites {
            let held = |entry: &&Entry| {
                entry.line.as_ref().is_some_and(|(line, _)| line.site() == Some(site.incarnation))
            };
            if let Some(known) = self.sites.get_mut(&site.incarnation) {
                known.site = site;
                continue;
            }
            let held = self.entries.values().filter(held).count();
            self.sites.insert(site.incarnation, KnownSite { site, since: now, held, given_cold: held });
        }
    }

    /// Takes a job as it is at the store, or the reason why it can't be read: then it is parked.
    pub fn job(&mut self, now: Time, id: &str, created: u64, job: Result<Job, String>) {
        if !self.ensure_entry(now, id) {
            return;
        }
        self.change(now, id, |entry| {
            (entry.job, entry.unreadable) = match job {
                Ok(job) => (Some(job), None),
                Err(why) => (None, Some(why)),
            };
            (entry.created, entry.missing) = (created, false);
        });
    }

    /// Takes the ids of all jobs that exist. A deleted job is cancelled if it is not over, and forgotten if it is.
    pub fn all_jobs(&mut self, now: Time, present: &BTreeSet<&str>) {
        let gone: Vec<String> =
            self.entries.keys().filter(|id| !present.contains(id.as_str())).cloned().collect();
        for id in gone {
            self.change(now, &id, |entry| (entry.job, entry.unreadable, entry.missing) = (None, None, true));
        }
    }

    /// Takes a line as the store has it at a revision.
    pub fn line(&mut self, now: Time, id: &str, line: JobLine, modified: u64) {
        if !self.ensure_entry(now, id) {
            return;
        }
        let retry_delay = self.limits.retry_delay;
        self.change(now, id, |entry| {
            if entry.line.as_ref().is_some_and(|(_, seen)| *seen >= modified) {
                return;
            }
            if line.state == State::Waiting {
                // It is not known how long it has waited already, so the whole wait starts now.
                let doublings = line.attempts.saturating_sub(1).min(6);
                entry.not_before = now + if line.attempts == 0 { 0 } else { retry_delay << doublings };
            }
            entry.line = Some((line, modified));
        });
    }

    /// Forgets a job whose line was deleted.
    pub fn forget(&mut self, now: Time, id: &str) {
        self.change(now, id, |entry| (entry.job, entry.unreadable, entry.line) = (None, None, None));
        self.unwanted.remove(id);
        self.entries.remove(id);
    }

    /// Adds an entry for a new job. Returns false if there are too many jobs already.
    fn ensure_entry(&mut self, now: Time, id: &str) -> bool {
        if self.entries.contains_key(id) {
            return true;
        }
        if self.entries.len() >= self.limits.jobs {
            self.metrics.left_out += 1;
            return false;
        }
        let entry = Entry {
            job: None,
            unreadable: None,
            missing: false,
            created: 0,
            line: None,
            since: now,
            not_before: now,
        };
        self.entries.insert(id.to_owned(), entry);
        true
    }

    /// Takes a job out of all indexes, changes it, and puts it back.
    fn change(&mut self, now: Time, id: &str, change: impl FnOnce(&mut Entry)) {
        let Some(mut entry) = self.entries.remove(id) else { return };
        let was_waiting = self.update_indexes(id, &entry, false);
        change(&mut entry);
        if !was_waiting && is_waiting(&entry) {
            entry.since = now;
        }
        self.update_indexes(id, &entry, true);
        self.entries.insert(id.to_owned(), entry);
    }

    /// Puts a job into the indexes that it belongs to, or takes it out of them. Returns true if it waits.
    fn update_indexes(&mut self, id: &str, entry: &Entry, insert: bool) -> bool {
        let user = entry.job.as_ref().map_or("", |job| job.user.as_str());
        let (queue_key, age) = ((entry.created, id.to_owned()), (entry.since, entry.created, id.to_owned()));
        let waiting = is_waiting(entry);
        self.update_order(user, false);
        if waiting && insert {
            if !self.waiting.contains_key(user) {
                self.unranked.insert(user.to_owned());
            }
            self.waiting.entry(user.to_owned()).or_default().insert(queue_key);
            self.oldest.insert(age);
        } else if waiting {
            if let Some(queue) = self.waiting.get_mut(user) {
                queue.remove(&queue_key);
                if queue.is_empty() {
                    self.waiting.remove(user);
                    self.debts.remove(user);
                    self.unranked.remove(user);
                }
            }
            self.oldest.remove(&age);
        }
        if let Some(site) = entry.line.as_ref().and_then(|(line, _)| line.site()) {
            let count = self.held_by_user.entry(user.to_owned()).or_default();
            *count = if insert { *count + 1 } else { count.saturating_sub(1) };
            if *count == 0 {
                self.held_by_user.remove(user);
            }
            match self.sites.get_mut(&site) {
                Some(known) if insert => known.held += 1,
                Some(known) => known.held = known.held.saturating_sub(1),
                None => {}
            }
            if insert && !self.sites.contains_key(&site) {
                self.orphans.insert(id.to_owned());
            } else {
                self.orphans.remove(id);
            }
        }
        self.update_order(user, true);
        if insert && unwanted(entry).is_some() {
            self.unwanted.insert(id.to_owned());
        } else {
            self.unwanted.remove(id);
        }
        waiting
    }

    /// Returns the next lines to write, in one transaction; none while another one is under way. `ranked_debt` returns a
    /// user's debt by the ranking in use.
    pub fn next(&mut self, now: Time, ranked_debt: impl Fn(&str) -> u64) -> Vec<Write> {
        if self.write_pending {
            return Vec::new();
        }
        for user in std::mem::take(&mut self.unranked) {
            let debt = ranked_debt(&user);
            self.debts.insert(user.clone(), debt);
            self.update_order(&user, true);
        }
        let mut writes = self.close_unwanted();
        if writes.is_empty() {
            writes = self.end_orphaned_leases(now);
        }
        if writes.is_empty() {
            writes = self.assign(now);
        }
        self.write_pending = !writes.is_empty();
        writes
    }

    /// Returns the write that brings a job into a state.
    fn prepare_write(&self, id: &str, state: State, why: &str) -> Option<Write> {
        let entry = self.entries.get(id)?;
        let (line, seen) = match &entry.line {
            Some((line, seen)) => (line.clone(), *seen),
            None => (JobLine::new(State::Waiting), 0),
        };
        let last = line.token(seen);
        let attempts = line.attempts + u32::from(matches!(state, State::Leased(_)));
        let line = JobLine { state, last, attempts, term: self.term, why: why.to_owned() };
        Some(Write { job: id.to_owned(), seen, line, there: None, gone: None, delete: false })
    }

    /// Cancels, parks or deletes jobs that are not wanted as they are.
    fn close_unwanted(&self) -> Vec<Write> {
        let writes = self.unwanted.iter().take(self.limits.writes).filter_map(|id| {
            let entry = self.entries.get(id)?;
            let (state, why) = match unwanted(entry)? {
                Unwanted::Cancel => {
                    let held = entry.line.as_ref().and_then(|(line, _)| line.site());
                    (held.map_or(State::Cancelled, State::Ending), "cancelled")
                }
                Unwanted::Park(why) => (State::Parked, why),
                Unwanted::Delete => {
                    return Some(Write { delete: true, ..self.prepare_write(id, State::Cancelled, "")? })
                }
            };
            self.prepare_write(id, state, why)
        });
        writes.collect()
    }

    /// Ends the leases of sites that are gone.
    fn end_orphaned_leases(&mut self, now: Time) -> Vec<Write> {
        self.metrics.held_back = now < self.held_back_until && !self.orphans.is_empty();
        if self.metrics.held_back {
            return Vec::new();
        }
        let writes = self.orphans.iter().filter_map(|id| {
            let line = &self.entries.get(id)?.line.as_ref()?.0;
            let (state, why) = match line.state {
                State::Ending(_) => (State::Cancelled, "cancelled, and its site is gone"),
                _ => (State::Waiting, "its site is gone"),
            };
            Some(Write { gone: line.site(), ..self.prepare_write(id, state, why)? })
        });
        // The writes name few sites, and each site's key is compared only once.
        writes.take(self.limits.writes).collect()
    }

    /// Returns the free capacity of a site: of all its capacity, or of a quarter while it is cold.
    fn free_capacity(&self, now: Time, known: &KnownSite) -> usize {
        let capacity = known.site.room;
        if now >= known.since + self.limits.cold_period {
            return capacity.saturating_sub(known.held);
        }
        // Jobs that it finishes while it is cold warm it up, but what it is given until then is bounded as well.
        let cold_capacity = capacity.div_ceil(4);
        cold_capacity.saturating_sub(known.held).min(capacity.saturating_sub(known.given_cold))
    }

    /// Leases waiting jobs to sites with free capacity: first those that have waited too long, then those of the
    /// users who owe least.
    fn assign(&mut self, now: Time) -> Vec<Write> {
        let mut capacities: Vec<(usize, Incarnation)> = self
            .sites
            .values()
            .map(|known| (self.free_capacity(now, known), known.site.incarnation))
            .collect();
        let mut writes: Vec<Write> = Vec::new();
        let mut chosen: BTreeSet<String> = BTreeSet::new();
        // Users chosen already: their debt including the chosen jobs, and the last of those jobs.
        let mut chosen_users: BTreeSet<(u64, &str)> = BTreeSet::new();
        let mut last_chosen: BTreeMap<&str, &(u64, String)> = BTreeMap::new();
        let due = |id: &str| self.entries.get(id).is_some_and(|entry| now >= entry.not_before);
        // Jobs that have waited too long, by age alone.
        let mut overdue = self
            .oldest
            .iter()
            .take_while(|(since, ..)| now >= since + self.limits.max_wait)
            .map(|(.., id)| id.as_str())
            .filter(|id| due(id))
            .peekable();
        let mut by_debt = self.by_debt.iter().map(|(owes, user)| (*owes, user.as_str())).peekable();
        while writes.len() < self.limits.writes {
            // The site with the most free capacity; ties go to the lowest incarnation.
            capacities.sort_by_key(|&(free, incarnation)| (std::cmp::Reverse(free), incarnation));
            let Some((free, site)) = capacities.first_mut().filter(|(free, _)| *free > 0) else { break };
            let id = match overdue.next() {
                Some(id) => id,
                None => {
                    let first = match (by_debt.peek(), chosen_users.first()) {
                        (Some(next), Some(old)) if old < next => chosen_users.pop_first(),
                        (Some(_), _) => by_debt.next(),
                        (None, _) => chosen_users.pop_first(),
                    };
                    let Some((owes, user)) = first else { break };
                    let from = last_chosen.get(user).map_or(Bound::Unbounded, |last| Bound::Excluded(*last));
                    let mut after = self.waiting[user].range((from, Bound::Unbounded));
                    let Some(next) = after.find(|(_, id)| due(id)) else { continue };
                    last_chosen.insert(user, next);
                    chosen_users.insert((owes.saturating_add(self.mean), user));
                    next.1.as_str()
                }
            };
            if !chosen.insert(id.to_owned()) {
                continue;
            }
            let attempts = self.entries[id].line.as_ref().map_or(0, |(line, _)| line.attempts);
            if attempts >= self.limits.attempts {
                let why = self.entries[id].line.as_ref().map_or("", |(line, _)| line.why.as_str());
                let why = format!("given up after {attempts} attempts: {why}");
                writes.extend(self.prepare_write(id, State::Parked, &why));
                continue;
            }
            *free -= 1;
            let site = *site;
            writes.extend(
                self.prepare_write(id, State::Leased(site), "").map(|w| Write { there: Some(site), ..w }),
            );
        }
        writes
    }

    /// Completes the last writes: `revision` is set if they were carried out. If not, the next poll of the store
    /// shows the current lines.
    pub fn complete(&mut self, now: Time, writes: &[Write], revision: Option<u64>) {
        self.write_pending = false;
        let Some(revision) = revision else { return };
        for write in writes {
            if write.delete {
                self.forget(now, &write.job);
                continue;
            }
            match write.line.state {
                State::Leased(site) => {
                    self.metrics.given += 1;
                    if let Some(known) = self.sites.get_mut(&site) {
                        known.given_cold += 1;
                    }
                }
                State::Waiting => self.metrics.ended += 1,
                _ => {}
            }
            self.line(now, &write.job, write.line.clone(), revision);
        }
    }

    /// Returns when to decide again if nothing changes at the store before.
    pub fn next_at(&self, now: Time) -> Time {
        /// The interval at which waits and capacities are checked, far finer than any of them.
        const RECHECK_INTERVAL: Time = 2_000;
        if self.write_pending || (self.oldest.is_empty() && self.orphans.is_empty()) {
            Time::MAX
        } else {
            now + RECHECK_INTERVAL
        }
    }
}

/// Returns true if a job is wanted and no site holds it.
fn is_waiting(entry: &Entry) -> bool {
    entry.job.as_ref().is_some_and(|job| !job.cancel)
        && entry.line.as_ref().is_none_or(|(line, _)| line.state == State::Waiting)
}

/// What to do with a job that is not wanted as it is.
enum Unwanted<'a> {
    Cancel,
    /// It can't be run, for this reason.
    Park(&'a str),
    Delete,
}

fn unwanted(entry: &Entry) -> Option<Unwanted<'_>> {
    let state = entry.line.as_ref().map(|(line, _)| line.state);
    let open = matches!(state, None | Some(State::Waiting | State::Leased(_)));
    match (&entry.job, &entry.unreadable) {
        (_, Some(why)) if open => Some(Unwanted::Park(why)),
        (Some(job), _) if job.cancel && open => Some(Unwanted::Cancel),
        (None, None) => match state {
            // A line read before its job proves nothing: only `all_jobs` shows that a job is gone.
            Some(State::Waiting | State::Leased(_)) if entry.missing => Some(Unwanted::Cancel),
            Some(State::Done | State::Parked | State::Cancelled) if entry.missing => Some(Unwanted::Delete),
            _ => None,
        },
        _ => None,
    }
}
