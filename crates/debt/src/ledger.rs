//! Sums that decay, and what each user owes by them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{digest, Digest, Use};

/// What is due to whom: a weight for each group and user named, and what holds for those that aren't.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Weights of groups and, within each, of users, one or more; 0 for those that are to come after all others.
    pub groups: BTreeMap<String, u64>,
    pub users: BTreeMap<String, u64>,
    /// Of those that are not named.
    pub other: u64,
    /// Epochs in which a use loses half its weight.
    pub half_life: u32,
}

/// Uses are counted in sixty-fourths of their unit, so that what decays to less than one is not lost at once: an error of
/// less than one in sixty-four a user, which is the same in every process.
const PARTS: u128 = 64;

/// Halves of a power of two by parts of a half-life: the factors 2^-(n/16) in 2^-32, as whole numbers, so that no process
/// reckons by floating point.
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

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Sum {
    group: String,
    /// Decayed to the epoch, in parts.
    sum: u128,
    epoch: u64,
}

/// Decayed sums by user, at an epoch. Between epochs a fold costs by what changed: a sum is decayed when it is touched, and
/// a sum that nobody touches keeps its order among others that nobody touches, as all decay alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    pub epoch: u64,
    users: BTreeMap<String, Sum>,
    /// Leases folded in all, and their use: what a job in hand counts as is their mean.
    pub leases: u64,
    pub used: Use,
}

/// What a user owes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owed {
    pub user: String,
    /// Parts in 2^32 of what all used lately, divided by the part that is due to it: 2^32 is a user that used what was due.
    pub debt: u64,
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
    (sum >> halves) * SIXTEENTHS[sixteenths as usize] >> 32
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger { epoch: 0, users: BTreeMap::new(), leases: 0, used: 0 }
    }
}

impl Ledger {
    /// The next epoch begins. Users whose sums have decayed to nothing are forgotten: they are as new.
    pub fn next_epoch(&mut self, half_life: u32) {
        self.epoch += 1;
        // Looked through once a half-life: memory is bounded by who used anything within some tens of them.
        if self.epoch % u64::from(half_life.max(1)) == 0 {
            let epoch = self.epoch;
            self.users.retain(|_, sum| decayed(sum.sum, epoch - sum.epoch, half_life) > 0);
        }
    }

    /// Adds what a lease used, once: whoever calls this sees to that.
    pub fn add(&mut self, user: &str, group: &str, used: Use, half_life: u32) {
        let epoch = self.epoch;
        let sum = self.users.entry(user.to_owned()).or_insert(Sum { group: group.to_owned(), sum: 0, epoch });
        // The group that it was last seen in holds; two in one epoch: the first by name.
        if sum.epoch < epoch || group < sum.group.as_str() {
            sum.group = group.to_owned();
        }
        sum.sum = decayed(sum.sum, epoch - sum.epoch, half_life).saturating_add(u128::from(used) * PARTS);
        sum.epoch = epoch;
        self.leases += 1;
        self.used = self.used.saturating_add(used);
    }

    /// The mean use of a lease.
    pub fn mean(&self) -> Use {
        self.used / self.leases.max(1)
    }

    pub fn users(&self) -> usize {
        self.users.len()
    }

    /// What each user owes, the least first, those alike by name. Each level is normalised by itself: a group's part of all
    /// against its share among groups with any use, and a user's part of its group's against its share there; a user's debt
    /// is the product.
    pub fn rank(&self, shares: &Shares) -> Vec<Owed> {
        /// A whole.
        const ONE: u128 = 1 << 32;
        let now = |sum: &Sum| decayed(sum.sum, self.epoch - sum.epoch, shares.half_life);
        let weight = |of: &BTreeMap<String, u64>, name: &str| {
            u128::from(of.get(name).copied().unwrap_or(shares.other))
        };
        let mut groups: BTreeMap<&str, (u128, u128)> = BTreeMap::new();
        for (user, sum) in &self.users {
            let group = groups.entry(&sum.group).or_default();
            group.0 = group.0.saturating_add(now(sum));
            group.1 += weight(&shares.users, user);
        }
        let all: u128 = groups.values().map(|(sum, _)| sum).sum();
        let due: u128 = groups.keys().map(|group| weight(&shares.groups, group)).sum();
        // Part used over part due, in 2^-32; nothing due and something used: as much as there can be.
        let over = |used: u128, of: u128, weight: u128, weights: u128| {
            if used == 0 || of == 0 {
                return 0;
            }
            if weight == 0 {
                return u128::from(u64::MAX);
            }
            // Sums are some 2^70 at most; what would overflow is shifted alike on both sides.
            let shift = (128 - used.leading_zeros()).saturating_sub(60);
            ((used >> shift) * ONE / ((of >> shift).max(1)) * weights / weight).min(u128::from(u64::MAX))
        };
        let group_debt: BTreeMap<&str, u128> = groups
            .iter()
            .map(|(group, (sum, _))| (*group, over(*sum, all, weight(&shares.groups, group), due)))
            .collect();
        let mut owed: Vec<Owed> = self
            .users
            .iter()
            .map(|(user, sum)| {
                let (of, weights) = groups.get(sum.group.as_str()).copied().unwrap_or_default();
                let own = over(now(sum), of, weight(&shares.users, user), weights);
                let group = group_debt.get(sum.group.as_str()).copied().unwrap_or(0);
                let debt = (own * group / ONE).min(u128::from(u64::MAX)) as u64;
                Owed { user: user.clone(), debt }
            })
            .collect();
        owed.sort_by(|a, b| (a.debt, &a.user).cmp(&(b.debt, &b.user)));
        owed
    }

    /// What a lease of the mean use adds to a user's debt, about: what a job in hand counts as.
    pub fn step(&self, shares: &Shares) -> u64 {
        let all: u128 =
            self.users.values().map(|sum| decayed(sum.sum, self.epoch - sum.epoch, shares.half_life)).sum();
        let mean = u128::from(self.mean()) * PARTS;
        let users = self.users.len() as u128;
        if all == 0 {
            return 1 << 20;
        }
        // For a user with an even share.
        ((mean << 32) / all).saturating_mul(users).clamp(1, 1 << 40) as u64
    }

    pub fn digest(&self) -> Digest {
        let rows: Vec<Vec<u8>> = self
            .users
            .iter()
            .map(|(user, sum)| {
                let mut row = sum.sum.to_be_bytes().to_vec();
                row.extend(sum.epoch.to_be_bytes());
                row.extend(sum.group.as_bytes());
                row.push(0);
                row.extend(user.as_bytes());
                row
            })
            .collect();
        let head = [self.epoch.to_be_bytes(), self.leases.to_be_bytes(), self.used.to_be_bytes()].concat();
        digest(std::iter::once(head.as_slice()).chain(rows.iter().map(Vec::as_slice)))
    }
}
