//! A stand-in for a site's agent: it holds jobs by leases that any steward renews, runs their steps where effects land, and
//! delivers their outcomes. What it may not forget is on its disk.

mod disk;
mod runs;
mod streams;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use ravenspar_jobs::JobAgent;
use tokio::sync::Notify;

use crate::{Clock, Time, SECOND};

pub use runs::Spec;

#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    /// Where each steward takes agents.
    pub stewards: Vec<SocketAddr>,
    pub effects: SocketAddr,
    /// Its folder: terms, lives and outcomes.
    pub dir: PathBuf,
    /// Jobs at a time.
    pub room: usize,
    /// Of its lives at the store.
    pub lease: Time,
    pub seed: u64,
    /// It works on whatever becomes of its lease.
    pub ignores_lease: bool,
    /// It keeps no outcome on disk, and says each but once.
    pub forgets: bool,
    /// It says what it used to every steward, again and again.
    pub doubles: bool,
    /// It stops itself at its nth call, its lease looked at and the call not sent.
    pub pause_at: Option<u64>,
    /// It says it used so many times as much.
    pub lies: u64,
}

/// Taken off a life by the agent itself: what a step takes to be called off or to land.
const MARGIN: Time = SECOND / 4;

pub(crate) struct Core {
    pub options: Options,
    pub clock: Clock,
    pub chance: fastrand::Rng,
    pub holder: JobAgent,
    pub disk: disk::Disk,
    /// Calls to where effects land.
    pub calls: u64,
    /// The steward through which it renews.
    pub current: usize,
    /// Whether this life has been renewed once.
    pub alive: bool,
    /// When this life was drawn.
    pub began: Time,
    /// When the last renewal was answered, or the life began.
    pub heard: Time,
    /// Lives of this site that are over for good.
    pub before: Vec<u64>,
    /// What each run has used, in tenths of a millisecond, by token and job, and whether that is all; kept until a steward
    /// has counted it.
    pub used: std::collections::BTreeMap<(u64, String), (Time, bool)>,
}

pub(crate) struct Agent {
    pub core: RefCell<Core>,
    /// Something is to be said: an outcome, another life.
    pub news: Notify,
}

impl Core {
    fn life(chance: &mut fastrand::Rng) -> u64 {
        chance.u64(1..=i64::MAX as u64)
    }

    /// Ends this life where its time is over, and begins another.
    pub fn look(&mut self) -> bool {
        let now = self.clock.now();
        // One that nobody has said to be held for a whole lease may have been, and be over: it is not used again.
        let over =
            if self.alive { !self.holder.may_work(now) } else { now >= self.began + self.options.lease };
        if over && !self.options.ignores_lease {
            self.next_incarnation();
        }
        over && !self.options.ignores_lease
    }

    /// The life is over, by the clock or by a steward's word.
    pub fn next_incarnation(&mut self) {
        let next = Core::life(&mut self.chance);
        self.before.push(self.holder.incarnation());
        // Some are enough: older ones have run out at the store.
        if self.before.len() > 4 {
            self.before.remove(0);
        }
        self.disk.life(next);
        // Its runs see that they hold nothing any more, and end.
        self.holder.next_incarnation(next, self.options.lease, MARGIN);
        (self.alive, self.began, self.heard) = (false, self.clock.now(), self.clock.now());
    }
}

/// Runs until the process ends.
pub async fn run(options: Options) -> std::io::Result<()> {
    let clock = Clock::default();
    let mut chance =
        fastrand::Rng::with_seed(options.seed ^ clock.now() as u64 ^ u64::from(std::process::id()) << 32);
    let (disk, kept) = disk::Disk::open(&options.dir, options.forgets)?;
    let life = Core::life(&mut chance);
    let mut holder = JobAgent::new(life, options.lease, MARGIN, options.room);
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
        core.holder.add_outcome(&job, token, ended);
    }
    let stewards = core.options.stewards.clone();
    let agent = Rc::new(Agent { core: RefCell::new(core), news: Notify::new() });
    for (number, address) in stewards.into_iter().enumerate() {
        tokio::task::spawn_local(streams::follow(agent.clone(), number, address));
    }
    // Looks at its own clock far more often than its margin.
    let mut look = tokio::time::interval(std::time::Duration::from_millis(20));
    loop {
        look.tick().await;
        let over = agent.core.borrow_mut().look();
        if over {
            agent.news.notify_waiters();
        }
    }
}
