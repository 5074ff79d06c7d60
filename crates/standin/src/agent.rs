//! A stand-in for a site's agent. It holds jobs under leases that any steward renews, runs their steps against the effects
//! service and delivers their outcomes. State that must survive a restart is on its disk.

mod disk;
mod runs;
mod streams;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use ravenspar_jobs::Holder;
use tokio::sync::Notify;

use crate::{Clock, Time, SECOND};

pub use runs::Spec;

/// How an agent runs, and the faults it has.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    /// The address on which each steward accepts agents.
    pub stewards: Vec<SocketAddr>,
    /// The address of the effects service.
    pub effects: SocketAddr,
    /// Folder for terms, incarnations and outcomes.
    pub dir: PathBuf,
    /// Maximum number of concurrent jobs.
    pub room: usize,
    /// Duration of the store's lease on each of its incarnations.
    pub lease: Time,
    pub seed: u64,
    /// Fault: it continues to work after its lease has expired.
    pub ignores_lease: bool,
    /// Fault: it keeps no outcome on disk and sends each only once.
    pub forgets: bool,
    /// Fault: it reports its usage to every steward, repeatedly.
    pub doubles: bool,
    /// Fault: it stops its process at the nth call, after the lease check and before the call is sent.
    pub pause_at: Option<u64>,
    /// Factor by which it multiplies the usage that it reports.
    pub lies: u64,
}

/// Subtracted from each lease by the agent: the time that a step takes to be cancelled or to take effect.
const MARGIN: Time = SECOND / 4;

pub(crate) struct Core {
    pub options: Options,
    pub clock: Clock,
    pub chance: fastrand::Rng,
    pub holder: Holder,
    pub disk: disk::Disk,
    /// Number of calls to the effects service.
    pub calls: u64,
    /// Index of the steward through which it renews its lease.
    pub current: usize,
    /// True once the lease of this incarnation has been renewed.
    pub alive: bool,
    /// When this incarnation began.
    pub began: Time,
    /// When the last renewal was acknowledged or, failing that, when the incarnation began.
    pub heard: Time,
    /// Earlier incarnations of this site, whose leases have ended.
    pub before: Vec<u64>,
    /// Usage of each run by token and job, and whether it is final. Kept until a steward acknowledges it.
    pub used: std::collections::BTreeMap<(u64, String), (Time, bool)>,
}

pub(crate) struct Agent {
    pub core: RefCell<Core>,
    /// Notified when there is something to send: an outcome or a new incarnation.
    pub news: Notify,
}

impl Core {
    fn life(chance: &mut fastrand::Rng) -> u64 {
        chance.u64(1..=i64::MAX as u64)
    }

    /// Starts a new incarnation if this one's lease has expired; returns true if it did.
    pub fn look(&mut self) -> bool {
        let now = self.clock.now();
        // An incarnation without an acknowledged renewal may have had its lease granted and expired: after a whole lease
        // it isn't used again.
        let over =
            if self.alive { !self.holder.may_work(now) } else { now >= self.began + self.options.lease };
        if over && !self.options.ignores_lease {
            self.over();
        }
        over && !self.options.ignores_lease
    }

    /// Starts a new incarnation, as the lease has expired by the clock or a steward has reported it over.
    pub fn over(&mut self) {
        let next = Core::life(&mut self.chance);
        self.before.push(self.holder.life());
        // The leases of older ones have expired at the store.
        if self.before.len() > 4 {
            self.before.remove(0);
        }
        self.disk.life(next);
        // Its runs notice that they no longer hold their jobs, and end.
        self.holder.over(next, self.options.lease, MARGIN);
        (self.alive, self.began, self.heard) = (false, self.clock.now(), self.clock.now());
    }
}

/// Runs an agent until the process ends.
pub async fn run(options: Options) -> std::io::Result<()> {
    let clock = Clock::default();
    let mut chance =
        fastrand::Rng::with_seed(options.seed ^ clock.now() as u64 ^ u64::from(std::process::id()) << 32);
    let (disk, kept) = disk::Disk::open(&options.dir, options.forgets)?;
    let life = Core::life(&mut chance);
    let mut holder = Holder::new(life, options.lease, MARGIN, options.room);
    holder.remember(kept.term);
    let mut core = Core {
        clock,
        chance,
        holder,
        disk,
        calls: 0,
        current: 0,
        alive: false,
        began: clock.now(),
        heard: clock.now(),
        before: kept.lives,
        used: kept.used,
        options,
    };
    core.disk.life(life);
    for (job, token, ended) in kept.outcomes {
        core.holder.keep(&job, token, ended);
    }
    let stewards = core.options.stewards.clone();
    let agent = Rc::new(Agent { core: RefCell::new(core), news: Notify::new() });
    for (number, address) in stewards.into_iter().enumerate() {
        tokio::task::spawn_local(streams::follow(agent.clone(), number, address));
    }
    // Checks its clock at intervals far below `MARGIN`.
    let mut look = tokio::time::interval(std::time::Duration::from_millis(20));
    loop {
        look.tick().await;
        let over = agent.core.borrow_mut().look();
        if over {
            agent.news.notify_waiters();
        }
    }
}
