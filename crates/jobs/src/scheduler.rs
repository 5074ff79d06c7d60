//! What the owner of the duty decides: which leases have ended, which job goes to which site next, what is given up.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::{Job, Life, Line, State, Time};

/// A site as the store has it: its key is there as long as its life's lease is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Site {
    pub life: Life,
    pub name: String,
    /// Jobs that it takes at a time.
    pub room: usize,
}

/// Bounds, each of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Jobs known at most; those past it wait unseen until others are gone.
    pub jobs: usize,
    /// How often a job is given out before it is parked.
    pub attempts: u32,
    /// How long a job waits after its first failed attempt; twice that after each further one.
    pub again: Time,
    /// For so long after it was first seen a site is cold: it gets a quarter of its room.
    pub cold: Time,
    /// How long ends are held back where most sites went at once.
    pub most_gone: Time,
    /// A job that has waited this long goes before any ranking.
    pub wait: Time,
    /// Lines written in one transaction.
    pub writes: usize,
}

/// A line to be written, compared with what it is, and with the site's key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    pub job: String,
    /// The line's revision; 0: there is none.
    pub seen: u64,
    pub line: Line,
    /// The site's key has to be there (given out) or gone (ended).
    pub there: Option<Life>,
    pub gone: Option<Life>,
    /// Nothing is kept of the job: whoever handed it in has deleted it, and it is over.
    pub delete: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Figures {
    /// Jobs known, and of them waiting, held, parked.
    pub jobs: usize,
    pub waiting: usize,
    pub held: usize,
    pub parked: usize,
    /// Jobs past the bound that were left out.
    pub left_out: u64,
    /// Ends held back at the moment, as most sites went at once.
    pub held_back: bool,
    pub given: u64,
    pub ended: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    job: Option<Job>,
    /// What is wrong with it, where it can't be read.
    bad: Option<String>,
    /// All jobs were looked through, and it was not there.
    swept: bool,
    /// The revision at which it was handed in: its age.
    created: u64,
    line: Option<(Line, u64)>,
    /// When it was first seen waiting, and before when it is not given out.
    since: Time,
    not_before: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Known {
    site: Site,
    /// Since when it is seen, and how many jobs it holds by the lines.
    since: Time,
    held: usize,
    /// Jobs that it has had since it is seen, while it is cold.
    given_cold: usize,
}

/// One term of the duty. Whoever comes after begins with what the store says, and gives every wait its whole time anew.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Giver {
    limits: Limits,
    term: u64,
    entries: BTreeMap<String, Entry>,
    sites: BTreeMap<Life, Known>,
    /// Waiting jobs of each user, the oldest first.
    waiting: BTreeMap<String, BTreeSet<(u64, String)>>,
    /// All waiting jobs by since when, for the bound on the wait.
    oldest: BTreeSet<(Time, u64, String)>,
    /// Held jobs of each user.
    in_hand: BTreeMap<String, usize>,
    /// Held by sites that are gone.
    orphans: BTreeSet<String>,
    /// Cancelled, deleted or not to be read, and not yet written so.
    unwanted: BTreeSet<String>,
    /// What each user with waiting jobs owes, by the ranking in use.
    debts: BTreeMap<String, u64>,
    /// Those users by what they owe, with what they have in hand counted as the mean.
    order: BTreeSet<(u64, String)>,
    /// Users with waiting jobs whose debts were not asked for yet.
    unranked: BTreeSet<String>,
    /// What a job in hand counts as, until its use is known: the mean use of a job.
    mean: u64,
    /// Sites that went and when they last did, while that is recent: by name, as one that can't hear goes under one life
    /// after the other.
    went: BTreeMap<String, Time>,
    held_back_until: Time,
    busy: bool,
    figures: Figures,
}

impl Giver {
    /// How recent is recent where most sites went at once: sites cut off together go within a renewal of one another.
    const TOGETHER: Time = 50_000;

    pub fn new(term: u64, limits: Limits) -> Giver {
        Giver {
            limits,
            term,
            entries: BTreeMap::new(),
            sites: BTreeMap::new(),
            waiting: BTreeMap::new(),
            oldest: BTreeSet::new(),
            in_hand: BTreeMap::new(),
            orphans: BTreeSet::new(),
            unwanted: BTreeSet::new(),
            debts: BTreeMap::new(),
            order: BTreeSet::new(),
            unranked: BTreeSet::new(),
            mean: 1,
            went: BTreeMap::new(),
            held_back_until: Time::MIN,
            busy: false,
            figures: Figures::default(),
        }
    }

    pub fn figures(&self) -> Figures {
        let parked = |entry: &&Entry| matches!(&entry.line, Some((line, _)) if line.state == State::Parked);
        Figures {
            jobs: self.entries.len(),
            waiting: self.oldest.len(),
            held: self.in_hand.values().sum(),
            parked: self.entries.values().filter(parked).count(),
            ..self.figures
        }
    }

    /// Another ranking is in use from here on. `mean`: what a job in hand counts as, until its use is known.
    pub fn rank(&mut self, mean: u64) {
        self.mean = mean.max(1);
        self.order.clear();
        self.debts.clear();
        self.unranked = self.waiting.keys().cloned().collect();
    }

    /// What a user owes with what it has in hand.
    fn owes(&self, user: &str) -> Option<u64> {
        let held = self.in_hand.get(user).copied().unwrap_or(0) as u64;
        Some(self.debts.get(user)?.saturating_add(held.saturating_mul(self.mean)))
    }

    fn order(&mut self, user: &str, into: bool) {
        if let Some(owes) = self.owes(user) {
            let place = (owes, user.to_owned());
            let _ = if into { self.order.insert(place) } else { self.order.remove(&place) };
        }
    }

    /// The sites whose keys are at the store, all of them.
    pub fn sites(&mut self, now: Time, sites: Vec<Site>) {
        let there: BTreeSet<Life> = sites.iter().map(|site| site.life).collect();
        let mut names: BTreeSet<String> = self.sites.values().map(|known| known.site.name.clone()).collect();
        names.extend(sites.iter().map(|site| site.name.clone()));
        let gone: Vec<Life> = self.sites.keys().filter(|life| !there.contains(life)).copied().collect();
        for life in gone {
            // One that comes back under another life at once is no loss.
            if let Some(known) = self.sites.remove(&life) {
                if !sites.iter().any(|site| site.name == known.site.name) {
                    self.went.insert(known.site.name, now);
                }
            }
            let held = |entry: &Entry| entry.line.as_ref().is_some_and(|(line, _)| line.site() == Some(life));
            let orphans = self.entries.iter().filter(|(_, entry)| held(entry));
            let orphans: Vec<String> = orphans.map(|(job, _)| job.clone()).collect();
            self.orphans.extend(orphans);
        }
        self.went.retain(|_, at| now < *at + Self::TOGETHER);
        names.extend(self.went.keys().cloned());
        // Most sites at once: it is more likely the stewards' own network. They come back under new lives, with what they
        // have done in hand; until then the few that are left are spared the jobs of all.
        if names.len() > 1 && 2 * self.went.len() > names.len() {
            self.held_back_until = self.held_back_until.max(now + self.limits.most_gone);
        }
        for site in sites {
            let held =
                |entry: &&Entry| entry.line.as_ref().is_some_and(|(line, _)| line.site() == Some(site.life));
            if let Some(known) = self.sites.get_mut(&site.life) {
                known.site = site;
                continue;
            }
            let held = self.entries.values().filter(held).count();
            self.sites.insert(site.life, Known { site, since: now, held, given_cold: held });
        }
    }

    /// A job as it was handed in, or as it is now; or what is wrong with it: then it is parked.
    pub fn job(&mut self, now: Time, id: &str, created: u64, job: Result<Job, String>) {
        if !self.known(now, id) {
            return;
        }
        self.change(now, id, |entry| {
            (entry.job, entry.bad) = match job {
                Ok(job) => (Some(job), None),
                Err(why) => (None, Some(why)),
            };
            (entry.created, entry.swept) = (created, false);
        });
    }

    /// All jobs that there are: those that were deleted are cancelled where they are not over, and forgotten where they are.
    pub fn all_jobs(&mut self, now: Time, there: &BTreeSet<&str>) {
        let gone: Vec<String> =
            self.entries.keys().filter(|id| !there.contains(id.as_str())).cloned().collect();
        for id in gone {
            self.change(now, &id, |entry| (entry.job, entry.bad, entry.swept) = (None, None, true));
        }
    }

    /// A line as the store has it at a revision.
    pub fn line(&mut self, now: Time, id: &str, line: Line, modified: u64) {
        if !self.known(now, id) {
            return;
        }
        let again = self.limits.again;
        self.change(now, id, |entry| {
            if entry.line.as_ref().is_some_and(|(_, seen)| *seen >= modified) {
                return;
            }
            if line.state == State::Waiting {
                // It is not known since when it waits: from now on, the whole time.
                let doublings = line.attempts.saturating_sub(1).min(6);
                entry.not_before = now + if line.attempts == 0 { 0 } else { again << doublings };
            }
            entry.line = Some((line, modified));
        });
    }

    /// A line or a job was deleted by its owner: nothing is kept of it.
    pub fn forget(&mut self, now: Time, id: &str) {
        self.change(now, id, |entry| (entry.job, entry.bad, entry.line) = (None, None, None));
        self.unwanted.remove(id);
        self.entries.remove(id);
    }

    fn known(&mut self, now: Time, id: &str) -> bool {
        if self.entries.contains_key(id) {
            return true;
        }
        if self.entries.len() >= self.limits.jobs {
            self.figures.left_out += 1;
            return false;
        }
        let entry =
            Entry { job: None, bad: None, swept: false, created: 0, line: None, since: now, not_before: now };
        self.entries.insert(id.to_owned(), entry);
        true
    }

    /// Takes a job out of all orders, changes it, and puts it where it belongs.
    fn change(&mut self, now: Time, id: &str, change: impl FnOnce(&mut Entry)) {
        let Some(mut entry) = self.entries.remove(id) else { return };
        let was_waiting = self.place(id, &entry, false);
        change(&mut entry);
        if !was_waiting && waits(&entry) {
            entry.since = now;
        }
        self.place(id, &entry, true);
        self.entries.insert(id.to_owned(), entry);
    }

    /// Puts a job into the orders that it belongs to, or takes it out of them. Returns whether it waits.
    fn place(&mut self, id: &str, entry: &Entry, into: bool) -> bool {
        let user = entry.job.as_ref().map_or("", |job| job.user.as_str());
        let (at, age) = ((entry.created, id.to_owned()), (entry.since, entry.created, id.to_owned()));
        let waits = waits(entry);
        self.order(user, false);
        if waits && into {
            if !self.waiting.contains_key(user) {
                self.unranked.insert(user.to_owned());
            }
            self.waiting.entry(user.to_owned()).or_default().insert(at);
            self.oldest.insert(age);
        } else if waits {
            if let Some(queue) = self.waiting.get_mut(user) {
                queue.remove(&at);
                if queue.is_empty() {
                    self.waiting.remove(user);
                    self.debts.remove(user);
                    self.unranked.remove(user);
                }
            }
            self.oldest.remove(&age);
        }
        if let Some(site) = entry.line.as_ref().and_then(|(line, _)| line.site()) {
            let count = self.in_hand.entry(user.to_owned()).or_default();
            *count = if into { *count + 1 } else { count.saturating_sub(1) };
            if *count == 0 {
                self.in_hand.remove(user);
            }
            match self.sites.get_mut(&site) {
                Some(known) if into => known.held += 1,
                Some(known) => known.held = known.held.saturating_sub(1),
                None => {}
            }
            if into && !self.sites.contains_key(&site) {
                self.orphans.insert(id.to_owned());
            } else {
                self.orphans.remove(id);
            }
        }
        self.order(user, true);
        if into && unwanted(entry).is_some() {
            self.unwanted.insert(id.to_owned());
        } else {
            self.unwanted.remove(id);
        }
        waits
    }

    /// The next lines to write, in one transaction; none while one is under way. `owes`: what a user owes by the ranking in
    /// use.
    pub fn next(&mut self, now: Time, owes: impl Fn(&str) -> u64) -> Vec<Write> {
        if self.busy {
            return Vec::new();
        }
        for user in std::mem::take(&mut self.unranked) {
            let debt = owes(&user);
            self.debts.insert(user.clone(), debt);
            self.order(&user, true);
        }
        let mut writes = self.cancel();
        if writes.is_empty() {
            writes = self.end(now);
        }
        if writes.is_empty() {
            writes = self.give(now);
        }
        self.busy = !writes.is_empty();
        writes
    }

    fn write(&self, id: &str, state: State, why: &str) -> Option<Write> {
        let entry = self.entries.get(id)?;
        let (line, seen) = match &entry.line {
            Some((line, seen)) => (line.clone(), *seen),
            None => (Line::new(State::Waiting), 0),
        };
        let last = line.token(seen);
        let attempts = line.attempts + u32::from(matches!(state, State::Leased(_)));
        let line = Line { state, last, attempts, term: self.term, why: why.to_owned() };
        Some(Write { job: id.to_owned(), seen, line, there: None, gone: None, delete: false })
    }

    fn cancel(&self) -> Vec<Write> {
        let writes = self.unwanted.iter().take(self.limits.writes).filter_map(|id| {
            let entry = self.entries.get(id)?;
            let (state, why) = match unwanted(entry)? {
                Unwanted::Cancel => {
                    let held = entry.line.as_ref().and_then(|(line, _)| line.site());
                    (held.map_or(State::Cancelled, State::Ending), "cancelled")
                }
                Unwanted::Park(why) => (State::Parked, why),
                Unwanted::Delete => {
                    return Some(Write { delete: true, ..self.write(id, State::Cancelled, "")? })
                }
            };
            self.write(id, state, why)
        });
        writes.collect()
    }

    /// Ends the leases of sites that are gone.
    fn end(&mut self, now: Time) -> Vec<Write> {
        self.figures.held_back = now < self.held_back_until && !self.orphans.is_empty();
        if self.figures.held_back {
            return Vec::new();
        }
        let writes = self.orphans.iter().filter_map(|id| {
            let line = &self.entries.get(id)?.line.as_ref()?.0;
            let (state, why) = match line.state {
                State::Ending(_) => (State::Cancelled, "cancelled, and its site is gone"),
                _ => (State::Waiting, "its site is gone"),
            };
            Some(Write { gone: line.site(), ..self.write(id, state, why)? })
        });
        // Few sites, so that each comparison of a site's key stands once.
        writes.take(self.limits.writes).collect()
    }

    /// Room at a site: all of it, or a quarter while it is cold.
    fn room(&self, now: Time, known: &Known) -> usize {
        let room = known.site.room;
        if now >= known.since + self.limits.cold {
            return room.saturating_sub(known.held);
        }
        // Jobs that it finishes while it is cold warm it up; what it is given until then is bounded as well.
        let cold = room.div_ceil(4);
        cold.saturating_sub(known.held).min(room.saturating_sub(known.given_cold))
    }

    fn give(&mut self, now: Time) -> Vec<Write> {
        let mut rooms: Vec<(usize, Life)> =
            self.sites.values().map(|known| (self.room(now, known), known.site.life)).collect();
        let mut writes: Vec<Write> = Vec::new();
        let mut chosen: BTreeSet<String> = BTreeSet::new();
        // Users that were chosen from already: what they owe with that, and the last of their jobs.
        let mut again: BTreeSet<(u64, &str)> = BTreeSet::new();
        let mut at: BTreeMap<&str, &(u64, String)> = BTreeMap::new();
        let due = |id: &str| self.entries.get(id).is_some_and(|entry| now >= entry.not_before);
        // Those that have waited too long, by age alone.
        let mut late = self
            .oldest
            .iter()
            .take_while(|(since, ..)| now >= since + self.limits.wait)
            .map(|(.., id)| id.as_str())
            .filter(|id| due(id))
            .peekable();
        let mut order = self.order.iter().map(|(owes, user)| (*owes, user.as_str())).peekable();
        while writes.len() < self.limits.writes {
            // The site with the most room; the first among equals.
            rooms.sort_by_key(|&(room, life)| (std::cmp::Reverse(room), life));
            let Some((room, site)) = rooms.first_mut().filter(|(room, _)| *room > 0) else { break };
            let id = match late.next() {
                Some(id) => id,
                None => {
                    let first = match (order.peek(), again.first()) {
                        (Some(next), Some(old)) if old < next => again.pop_first(),
                        (Some(_), _) => order.next(),
                        (None, _) => again.pop_first(),
                    };
                    let Some((owes, user)) = first else { break };
                    let from = at.get(user).map_or(Bound::Unbounded, |last| Bound::Excluded(*last));
                    let mut after = self.waiting[user].range((from, Bound::Unbounded));
                    let Some(next) = after.find(|(_, id)| due(id)) else { continue };
                    at.insert(user, next);
                    again.insert((owes.saturating_add(self.mean), user));
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
                writes.extend(self.write(id, State::Parked, &why));
                continue;
            }
            *room -= 1;
            let site = *site;
            writes.extend(self.write(id, State::Leased(site), "").map(|w| Write { there: Some(site), ..w }));
        }
        writes
    }

    /// What came of the last writes: the revision that they have, where they were carried out. Where they were not, what is
    /// so is told by the next look at the store.
    pub fn done(&mut self, now: Time, writes: &[Write], revision: Option<u64>) {
        self.busy = false;
        let Some(revision) = revision else { return };
        for write in writes {
            if write.delete {
                self.forget(now, &write.job);
                continue;
            }
            match write.line.state {
                State::Leased(site) => {
                    self.figures.given += 1;
                    if let Some(known) = self.sites.get_mut(&site) {
                        known.given_cold += 1;
                    }
                }
                State::Waiting => self.figures.ended += 1,
                _ => {}
            }
            self.line(now, &write.job, write.line.clone(), revision);
        }
    }

    /// When there is something to do without news.
    pub fn next_at(&self, now: Time) -> Time {
        /// Waits and rooms are looked at again this often: far finer than any of them.
        const AGAIN: Time = 2_000;
        if self.busy || (self.oldest.is_empty() && self.orphans.is_empty()) {
            Time::MAX
        } else {
            now + AGAIN
        }
    }
}

/// Whether a job is wanted and nobody holds it.
fn waits(entry: &Entry) -> bool {
    entry.job.as_ref().is_some_and(|job| !job.cancel)
        && entry.line.as_ref().is_none_or(|(line, _)| line.state == State::Waiting)
}

/// What is to be done with a job that is not wanted as it is.
enum Unwanted<'a> {
    Cancel,
    /// It can't be run, with the reason.
    Park(&'a str),
    Delete,
}

fn unwanted(entry: &Entry) -> Option<Unwanted<'_>> {
    let state = entry.line.as_ref().map(|(line, _)| line.state);
    let open = matches!(state, None | Some(State::Waiting | State::Leased(_)));
    match (&entry.job, &entry.bad) {
        (_, Some(why)) if open => Some(Unwanted::Park(why)),
        (Some(job), _) if job.cancel && open => Some(Unwanted::Cancel),
        (None, None) => match state {
            // A line that is read before its job is no reason: jobs that there are not are told of by `all_jobs`.
            Some(State::Waiting | State::Leased(_)) if entry.swept => Some(Unwanted::Cancel),
            Some(State::Done | State::Parked | State::Cancelled) if entry.swept => Some(Unwanted::Delete),
            _ => None,
        },
        _ => None,
    }
}
