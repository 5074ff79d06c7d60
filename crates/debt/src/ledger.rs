//! Decayed totals of use, and the debts that follow from them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{digest, Digest, ServerTime};

/// Share weights of groups and, within each group, of users. Weight 0 ranks after all others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shares {
    pub groups: BTreeMap<String, u64>,
    pub users: BTreeMap<String, u64>,
    /// The weight of groups and users that are not named.
    pub other: u64,
    /// The number of epochs in which a use loses half its weight.
    pub half_life: u32,
}

impl Default for Shares {
    /// Equal shares.
    fn default() -> Shares {
        Shares { groups: BTreeMap::new(), users: BTreeMap::new(), other: 1, half_life: 1 }
    }
}

/// Totals are kept in 1/64 of a unit of use, so that small totals don't vanish as they decay.
const TOTAL_SCALE: u128 = 64;

/// The debt of a user that used exactly its share.
const UNIT_DEBT: u128 = 1 << 32;

/// 2^-(n/16) in units of 2^-32, as integers, so that no process computes in floating point.
const DECAY_SIXTEENTHS: [u128; 16] = [
    4_294_967_296,
    4_112_874_773,
    3_938_502_376,
    3_771_522_796,
    3_611_622_603,
    3_458_501_653,
    3_311_872_529,
    3_171_459_999,
    3_037_000_500,
    2_908_241_642,
    2_784_941_738,
    2_666_869_345,
    2_553_802_834,
    2_445_529_972,
    2_341_847_524,
    2_242_560_872,
];

/// Use decayed to an epoch, of a user, of a group or of all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The user's group; empty in totals of groups and of all.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub group: String,
    /// In 1/64 of a unit of use.
    pub sum: u128,
    pub epoch: u64,
}

/// Decays a total by a number of epochs.
fn decayed(sum: u128, epochs: u64, half_life: u32) -> u128 {
    let half_life = u64::from(half_life.max(1));
    let half_lives = epochs / half_life;
    if half_lives >= 100 {
        return 0;
    }
    // Rounded to a sixteenth of a half-life; a finer step changes the total by less than a twentieth.
    let sixteenths = (epochs % half_life) * 16 / half_life;
    // Shift first where the product could overflow.
    let sum = sum >> half_lives;
    match sum >> 90 {
        0 => (sum * DECAY_SIXTEENTHS[sixteenths as usize]) >> 32,
        _ => (sum >> 32) * DECAY_SIXTEENTHS[sixteenths as usize],
    }
}

impl Total {
    fn decayed_to(&self, epoch: u64, half_life: u32) -> u128 {
        decayed(self.sum, epoch.saturating_sub(self.epoch), half_life)
    }

    fn add(&mut self, epoch: u64, used: ServerTime, half_life: u32) {
        self.sum = self.decayed_to(epoch, half_life).saturating_add(u128::from(used) * TOTAL_SCALE);
        self.epoch = epoch;
    }
}

/// Decayed totals of users, of groups and of all. Queries cost by what is asked and updates by what changes, not by
/// the number of users: a total is decayed only when it is touched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    pub epoch: u64,
    /// The number of leases folded so far and their total use. Their mean is the estimate for a job that is still
    /// running.
    pub leases: u64,
    pub used: ServerTime,
    shares: Shares,
    users: BTreeMap<String, Total>,
    groups: BTreeMap<String, Total>,
    all: Total,
    /// Weights of the users of each group, and of the groups, for those that have totals.
    weights: BTreeMap<String, u128>,
    group_weights: u128,
    /// The sum of the digests of all entries, which doesn't depend on their order.
    entries_digest: u128,
}

/// A user and its debt, as ranked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UserDebt {
    pub user: String,
    /// The user's part of the recent use divided by its share, in units of 2^-32: 2^32 is a user that used exactly
    /// its share.
    pub debt: u64,
}

/// An entry's contribution to the digest.
fn entry_digest(kind: u8, name: &str, sum: &Total) -> u128 {
    let head = [kind];
    let parts: [&[u8]; 5] =
        [&head, name.as_bytes(), sum.group.as_bytes(), &sum.sum.to_be_bytes(), &sum.epoch.to_be_bytes()];
    u128::from_be_bytes(digest(parts))
}

/// The part used divided by the part due, in units of 2^-32; the maximum if something was used and nothing is due.
fn relative_use(used: u128, total: u128, weight: u128, total_weight: u128) -> u128 {
    if used == 0 || total == 0 {
        return 0;
    }
    if weight == 0 {
        return u128::from(u64::MAX);
    }
    // Shift both sides alike where the product would overflow.
    let shift = (128 - used.max(total).leading_zeros()).saturating_sub(60);
    let part = (used >> shift) * UNIT_DEBT / (total >> shift).max(1);
    (part.saturating_mul(total_weight) / weight).min(u128::from(u64::MAX))
}

impl Ledger {
    pub fn new(shares: Shares) -> Ledger {
        Ledger {
            epoch: 0,
            leases: 0,
            used: 0,
            shares,
            users: BTreeMap::new(),
            groups: BTreeMap::new(),
            all: Total::default(),
            weights: BTreeMap::new(),
            group_weights: 0,
            entries_digest: 0,
        }
    }

    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    fn user_weight(&self, user: &str) -> u128 {
        u128::from(self.shares.users.get(user).copied().unwrap_or(self.shares.other))
    }

    fn group_weight(&self, group: &str) -> u128 {
        u128::from(self.shares.groups.get(group).copied().unwrap_or(self.shares.other))
    }

    /// Adds the use of a lease. The caller ensures that each lease is added only once.
    pub fn add(&mut self, user: &str, group: &str, used: ServerTime) {
        let (epoch, half_life) = (self.epoch, self.shares.half_life);
        let mut sum =
            self.users.get(user).cloned().unwrap_or(Total { group: group.to_owned(), sum: 0, epoch });
        // The group of the latest epoch holds; of two in one epoch, the first by name.
        if sum.epoch < epoch || group < sum.group.as_str() {
            sum.group = group.to_owned();
        }
        sum.add(epoch, used, half_life);
        self.set_user(user, sum);
        let mut sum = self.groups.get(group).cloned().unwrap_or_default();
        sum.add(epoch, used, half_life);
        self.set_group(group, sum);
        let mut all = self.all.clone();
        all.add(epoch, used, half_life);
        self.set_all(all);
        self.leases += 1;
        self.used = self.used.saturating_add(used);
    }

    /// Returns a user's total.
    pub fn user(&self, user: &str) -> Option<&Total> {
        self.users.get(user)
    }

    /// Returns a group's total.
    pub fn group(&self, group: &str) -> Option<&Total> {
        self.groups.get(group)
    }

    /// Returns the total of all users.
    pub fn all(&self) -> &Total {
        &self.all
    }

    /// Sets a user's total, as read from the store.
    pub fn set_user(&mut self, user: &str, sum: Total) {
        self.entries_digest = self.entries_digest.wrapping_add(entry_digest(0, user, &sum));
        let (weight, group) = (self.user_weight(user), sum.group.clone());
        let before = self.users.insert(user.to_owned(), sum);
        if let Some(before) = &before {
            self.entries_digest = self.entries_digest.wrapping_sub(entry_digest(0, user, before));
            if before.group == group {
                return;
            }
            if let Some(weights) = self.weights.get_mut(&before.group) {
                *weights = weights.saturating_sub(weight);
            }
        }
        *self.weights.entry(group).or_default() += weight;
    }

    /// Sets a group's total, as read from the store.
    pub fn set_group(&mut self, group: &str, sum: Total) {
        self.entries_digest = self.entries_digest.wrapping_add(entry_digest(1, group, &sum));
        match self.groups.insert(group.to_owned(), sum) {
            Some(before) => {
                self.entries_digest = self.entries_digest.wrapping_sub(entry_digest(1, group, &before))
            }
            None => self.group_weights += self.group_weight(group),
        }
    }

    /// Sets the total of all users, as read from the store.
    pub fn set_all(&mut self, sum: Total) {
        self.all = sum;
    }

    /// The mean use of a folded lease.
    pub fn mean(&self) -> ServerTime {
        self.used / self.leases.max(1)
    }

    /// Returns the number of users with totals.
    pub fn users(&self) -> usize {
        self.users.len()
    }

    /// Returns a user's debt. Each level is normalised by itself: the group's part of all use against its share among
    /// groups with any use, and the user's part of its group's use against its share in the group; the debt is the
    /// product of the two. A user without a total owes nothing, unless its weight is 0.
    pub fn debt_of(&self, user: &str) -> u64 {
        let Some(sum) = self.users.get(user) else {
            return if self.user_weight(user) == 0 { u64::MAX } else { 0 };
        };
        let now = |sum: &Total| sum.decayed_to(self.epoch, self.shares.half_life);
        let group = self.groups.get(&sum.group).map_or(0, now);
        let weights = self.weights.get(&sum.group).copied().unwrap_or(0);
        let user_part = relative_use(now(sum), group, self.user_weight(user), weights);
        let group_part =
            relative_use(group, now(&self.all), self.group_weight(&sum.group), self.group_weights);
        (user_part.saturating_mul(group_part) / UNIT_DEBT).min(u128::from(u64::MAX)) as u64
    }

    /// Returns roughly what a lease of mean use adds to the debt of a user with an even share: the estimate for a job
    /// that is still running.
    pub fn mean_lease_debt(&self) -> u64 {
        let all = self.all.decayed_to(self.epoch, self.shares.half_life);
        if all == 0 {
            return 1 << 20;
        }
        let part = relative_use(u128::from(self.mean()) * TOTAL_SCALE, all, 1, self.users.len() as u128);
        part.clamp(1, 1 << 40) as u64
    }

    /// All users by debt, the lowest first, ties by name.
    pub fn rank(&self) -> Vec<UserDebt> {
        let user_debt = |user: &String| UserDebt { user: user.clone(), debt: self.debt_of(user) };
        let mut all: Vec<UserDebt> = self.users.keys().map(user_debt).collect();
        all.sort_by(|a, b| (a.debt, &a.user).cmp(&(b.debt, &b.user)));
        all
    }

    /// The digest of all totals, the epoch, and the number and use of folded leases.
    pub fn digest(&self) -> Digest {
        digest([
            &self.entries_digest.to_be_bytes()[..],
            &entry_digest(2, "", &self.all).to_be_bytes(),
            &self.epoch.to_be_bytes(),
            &self.leases.to_be_bytes(),
            &self.used.to_be_bytes(),
        ])
    }
}
