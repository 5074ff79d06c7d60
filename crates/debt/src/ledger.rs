//! Sums that decay, and what each user owes by them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{digest, Digest, Use};

/// What is due to whom: weights of groups and, within each, of users; 0 for those that are to come after all others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shares {
    pub groups: BTreeMap<String, u64>,
    pub users: BTreeMap<String, u64>,
    /// Of those that are not named.
    pub other: u64,
    /// Epochs in which a use loses half its weight.
    pub half_life: u32,
}

impl Default for Shares {
    /// The same to everybody.
    fn default() -> Shares {
        Shares { groups: BTreeMap::new(), users: BTreeMap::new(), other: 1, half_life: 1 }
    }
}

/// Uses are counted in sixty-fourths of their unit, so that what decays is not lost at once.
const PARTS: u128 = 64;

/// A whole debt: a user that used what was due to it.
const ONE: u128 = 1 << 32;

/// 2^-(n/16) in 2^-32, as whole numbers, so that no process reckons by floating point.
const SIXTEENTHS: [u128; 16] = [
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

/// What was used, decayed to an epoch: by a user, by a group, by all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// A user's group; empty otherwise.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub group: String,
    /// In sixty-fourths of a use.
    pub sum: u128,
    pub epoch: u64,
}

/// Decays a sum by so many epochs.
fn decayed(sum: u128, epochs: u64, half_life: u32) -> u128 {
    let half_life = u64::from(half_life.max(1));
    let halves = epochs / half_life;
    if halves >= 100 {
        return 0;
    }
    // To the sixteenth of a half-life: a finer step is less than a part in twenty.
    let sixteenths = (epochs % half_life) * 16 / half_life;
    // Shifted first where the product could overflow.
    let sum = sum >> halves;
    match sum >> 90 {
        0 => (sum * SIXTEENTHS[sixteenths as usize]) >> 32,
        _ => (sum >> 32) * SIXTEENTHS[sixteenths as usize],
    }
}

impl Sum {
    fn at(&self, epoch: u64, half_life: u32) -> u128 {
        decayed(self.sum, epoch.saturating_sub(self.epoch), half_life)
    }

    fn add(&mut self, epoch: u64, used: Use, half_life: u32) {
        self.sum = self.at(epoch, half_life).saturating_add(u128::from(used) * PARTS);
        self.epoch = epoch;
    }
}

/// Decayed sums of users, of groups, and of all. What is asked of it costs by what is asked, and what is added by what
/// changes, never by how many users there are: a sum is decayed when it is touched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    pub epoch: u64,
    /// Leases folded in all, and their use: what a job in hand counts as is their mean.
    pub leases: u64,
    pub used: Use,
    shares: Shares,
    users: BTreeMap<String, Sum>,
    groups: BTreeMap<String, Sum>,
    all: Sum,
    /// Weights of the users of each group, and of the groups, as far as they have sums.
    weights: BTreeMap<String, u128>,
    group_weights: u128,
    /// Of all rows, added up: the same rows have the same one in whatever order they came.
    rows: u128,
}

/// What a user owes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owed {
    pub user: String,
    /// Parts in 2^32 of what all used lately, divided by the part that is due to it: 2^32 is a user that used what was due.
    pub debt: u64,
}

/// A row's part of the digest.
fn row(kind: u8, name: &str, sum: &Sum) -> u128 {
    let head = [kind];
    let parts: [&[u8]; 5] =
        [&head, name.as_bytes(), sum.group.as_bytes(), &sum.sum.to_be_bytes(), &sum.epoch.to_be_bytes()];
    u128::from_be_bytes(digest(parts))
}

/// Part used over part due, in 2^-32; nothing due and something used: as much as there can be.
fn over(used: u128, of: u128, weight: u128, weights: u128) -> u128 {
    if used == 0 || of == 0 {
        return 0;
    }
    if weight == 0 {
        return u128::from(u64::MAX);
    }
    // What would overflow is shifted alike on both sides.
    let shift = (128 - used.max(of).leading_zeros()).saturating_sub(60);
    let part = (used >> shift) * ONE / (of >> shift).max(1);
    (part.saturating_mul(weights) / weight).min(u128::from(u64::MAX))
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
            all: Sum::default(),
            weights: BTreeMap::new(),
            group_weights: 0,
            rows: 0,
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

    /// Adds what a lease used, once: whoever calls this sees to that.
    pub fn add(&mut self, user: &str, group: &str, used: Use) {
        let (epoch, half_life) = (self.epoch, self.shares.half_life);
        let mut sum = self.users.get(user).cloned().unwrap_or(Sum { group: group.to_owned(), sum: 0, epoch });
        // The group that it was last seen in holds; of two in one epoch the first by name.
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

    pub fn user(&self, user: &str) -> Option<&Sum> {
        self.users.get(user)
    }

    pub fn group(&self, group: &str) -> Option<&Sum> {
        self.groups.get(group)
    }

    pub fn all(&self) -> &Sum {
        &self.all
    }

    /// A user's sum as it is on record.
    pub fn set_user(&mut self, user: &str, sum: Sum) {
        self.rows = self.rows.wrapping_add(row(0, user, &sum));
        let (weight, group) = (self.user_weight(user), sum.group.clone());
        let before = self.users.insert(user.to_owned(), sum);
        if let Some(before) = &before {
            self.rows = self.rows.wrapping_sub(row(0, user, before));
            if before.group == group {
                return;
            }
            if let Some(weights) = self.weights.get_mut(&before.group) {
                *weights = weights.saturating_sub(weight);
            }
        }
        *self.weights.entry(group).or_default() += weight;
    }

    pub fn set_group(&mut self, group: &str, sum: Sum) {
        self.rows = self.rows.wrapping_add(row(1, group, &sum));
        match self.groups.insert(group.to_owned(), sum) {
            Some(before) => self.rows = self.rows.wrapping_sub(row(1, group, &before)),
            None => self.group_weights += self.group_weight(group),
        }
    }

    pub fn set_all(&mut self, sum: Sum) {
        self.all = sum;
    }

    /// The mean use of a lease.
    pub fn mean(&self) -> Use {
        self.used / self.leases.max(1)
    }

    pub fn users(&self) -> usize {
        self.users.len()
    }

    /// What a user owes. Each level is normalised by itself: a group's part of all against its share among groups with any
    /// use, and a user's part of its group's against its share there; the debt is their product. One without a sum owes
    /// nothing, unless nothing is due to it.
    pub fn owes(&self, user: &str) -> u64 {
        let Some(sum) = self.users.get(user) else {
            return if self.user_weight(user) == 0 { u64::MAX } else { 0 };
        };
        let now = |sum: &Sum| sum.at(self.epoch, self.shares.half_life);
        let group = self.groups.get(&sum.group).map_or(0, now);
        let weights = self.weights.get(&sum.group).copied().unwrap_or(0);
        let own = over(now(sum), group, self.user_weight(user), weights);
        let of_group = over(group, now(&self.all), self.group_weight(&sum.group), self.group_weights);
        (own.saturating_mul(of_group) / ONE).min(u128::from(u64::MAX)) as u64
    }

    /// What a lease of the mean use adds to the debt of a user with an even share, about: what a job in hand counts as.
    pub fn step(&self) -> u64 {
        let all = self.all.at(self.epoch, self.shares.half_life);
        if all == 0 {
            return 1 << 20;
        }
        let part = over(u128::from(self.mean()) * PARTS, all, 1, self.users.len() as u128);
        part.clamp(1, 1 << 40) as u64
    }

    /// All users by what they owe, the least first, those alike by name.
    pub fn rank(&self) -> Vec<Owed> {
        let owed = |user: &String| Owed { user: user.clone(), debt: self.owes(user) };
        let mut all: Vec<Owed> = self.users.keys().map(owed).collect();
        all.sort_by(|a, b| (a.debt, &a.user).cmp(&(b.debt, &b.user)));
        all
    }

    pub fn digest(&self) -> Digest {
        digest([
            &self.rows.to_be_bytes()[..],
            &row(2, "", &self.all).to_be_bytes(),
            &self.epoch.to_be_bytes(),
            &self.leases.to_be_bytes(),
            &self.used.to_be_bytes(),
        ])
    }
}
