//! Changes around the stewards, drawn by a generator of their own, so that the other draws of a seed stay as
//! they were.

use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

use crate::member::{LateList, Member, ReleaseKind};

/// Time from one change of addresses to the next, in milliseconds.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 500..6_000;

/// Time between a SIGHUP and a SIGTERM in quick succession, in milliseconds.
const SIGNAL_GAP_MS: std::ops::Range<u64> = 0..60;

/// Time from one late list to the next, in milliseconds.
const LATE_LIST_INTERVAL_MS: std::ops::Range<u64> = 500..5_000;

/// Length of each of the three parts of a late list, in milliseconds; in all less than the 6 s after which a
/// list counts as received.
const LATE_PART_MS: std::ops::Range<u64> = 50..1_500;

/// Which of these changes a seed has, and the generator of all draws for them.
pub struct Environment {
    has_new_addresses: bool,
    has_late_lists: bool,
    pub has_invalid_reports: bool,
    rng: Rng,
}

impl Environment {
    /// Draws the changes of a seed; three seeds of four have each.
    pub fn draw(seed: u64) -> Environment {
        const SEED_MASK: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut rng = Rng::with_seed(seed ^ SEED_MASK);
        let mut draw = || rng.u8(..4) != 0;
        Environment { has_new_addresses: draw(), has_invalid_reports: draw(), has_late_lists: draw(), rng }
    }

    /// Returns the generator by which a collector sends invalid reports, if it does.
    pub fn invalid_reports(&mut self) -> Option<Rng> {
        let rng = self.rng.fork();
        self.has_invalid_reports.then_some(rng)
    }

    /// Starts the changes around one steward, up to `end`.
    pub fn inject(&mut self, member: &Rc<Member>, end: Instant, tasks: &mut JoinSet<()>) {
        let (addresses, lists) = (self.rng.fork(), self.rng.fork());
        if self.has_new_addresses {
            tasks.spawn_local(change_addresses(member.clone(), end, addresses));
        }
        if self.has_late_lists {
            tasks.spawn_local(delay_lists(member.clone(), end, lists));
        }
    }
}

/// Changes the addresses of one steward again and again up to `end`, sometimes with a SIGTERM shortly before
/// or after, or twice in a row.
async fn change_addresses(member: Rc<Member>, end: Instant, mut rng: Rng) {
    loop {
        sleep(Duration::from_millis(rng.u64(CHANGE_INTERVAL_MS))).await;
        let gap = sleep(Duration::from_millis(rng.u64(SIGNAL_GAP_MS)));
        let drawn = rng.u8(..6);
        if Instant::now() >= end {
            return;
        }
        match drawn {
            0 => drop(tokio::join!(member.release(ReleaseKind::Plain), async {
                gap.await;
                change(&member).await;
            })),
            1 => drop(tokio::join!(change(&member), async {
                gap.await;
                member.release(ReleaseKind::Plain).await;
            })),
            2 => {
                change(&member).await;
                gap.await;
                change(&member).await;
            }
            _ => change(&member).await,
        }
    }
}

async fn change(member: &Member) {
    let is_changed = member.change_addresses().await.expect("a free address");
    member.soak.store.borrow_mut().address_changes += usize::from(is_changed);
}

/// Delays lists to one steward, again and again up to `end`.
async fn delay_lists(member: Rc<Member>, end: Instant, mut rng: Rng) {
    loop {
        sleep(Duration::from_millis(rng.u64(LATE_LIST_INTERVAL_MS))).await;
        let mut span = || Duration::from_millis(rng.u64(LATE_PART_MS));
        let late = LateList { until_held: span(), held: span(), old: span() };
        if Instant::now() + late.span() >= end {
            return;
        }
        member.delay_list(late).await;
    }
}
