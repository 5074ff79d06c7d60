//! A stand-in for a site's agent. It holds jobs under leases that any steward renews, runs their steps against the effects
//! service and delivers their outcomes. State that must survive a restart is on its disk.

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
    pub rng: fastrand::Rng,
    pub holder: JobAgent,
    pub disk: disk::Disk,
    /// Number of calls to the effects service.
    pub calls: u64,
    /// Index of the steward through which it renews its lease.
    pub current: usize,
    /// True once the lease of this incarnation has been renewed.
    pub renewed: bool,
    /// When this incarnation began.
    pub began: Time,
    /// When the last renewal was acknowledged or, failing that, when the incarnation began.
    pub acked_at: Time,
    /// Earlier incarnations of this site, whose leases have ended.
    pub earlier_incarnations: Vec<u64>,
    /// Usage of each run by token and job, and whether it is final. Kept until a steward acknowledges it.
    pub used: std::collections::BTreeMap<(u64, String), (Time, bool)>,
}

pub(crate) struct Agent {
    pub core: RefCell<Core>,
    /// Notified when there is something to send: an outcome or a new incarnation.
    pub send_due: Notify,
}

impl Core {
    fn draw_incarnation(rng: &mut fastrand::Rng) -> u64 {
        rng.u64(1..=i64::MAX as u64)
    }

    /// Starts a new incarnation if this one's lease has expired; returns true if it did.
    pub fn begin_incarnation_if_expired(&mut self) -> bool {
        let now = self.clock.now();
        // An incarnation without an acknowledged renewal may have had its lease granted and expired: after a whole lease
        // it isn't used again.
        let expired =
            if self.renewed { !self.holder.may_work(now) } else { now >= self.began + self.options.lease };
        if expired && !self.options.ignores_lease {
            self.begin_incarnation();
        }
        expired && !self.options.ignores_lease
    }

    /// Starts a new incarnation, as the lease has expired by the clock or a steward has reported it over.
    pub fn begin_incarnation(&mut self) {
        let next = Core::draw_incarnation(&mut self.rng);
        self.earlier_incarnations.push(self.holder.incarnation());
        // The leases of older ones have expired at the store.
        if self.earlier_incarnations.len() > 4 {
            self.earlier_incarnations.remove(0);
        }
        self.disk.incarnation(next);
        // Its runs notice that they no longer hold their jobs, and end.
        self.holder.next_incarnation(next, self.options.lease, MARGIN);
        (self.renewed, self.began, self.acked_at) = (false, self.clock.now(), self.clock.now());
    }
}

/// Runs an agent until the process ends.
pub async fn run(options: Options) -> std::io::Result<()> {
    let clock = Clock::default();
    let mut rng =
        fastrand::Rng::with_seed(options.seed ^ clock.now() as u64 ^ u64::from(std::process::id()) << 32);
    let (disk, recovered) = disk::Disk::open(&options.dir, options.forgets)?;
    let incarnation = Core::draw_incarnation(&mut rng);
    let mut holder = JobAgent::new(incarnation, options.lease, MARGIN, options.room);
    holder.remember(recovered.term);
    let mut core = Core {
        clock,
        rng,
        holder,
        disk,
        calls: 0,
        current: 0,
        renewed: false,
        began: clock.now(),
        acked_at: clock.now(),
        earlier_incarnations: recovered.incarnations,
        used: recovered.used,
        options,
    };
    core.disk.incarnation(incarnation);
    for (job, token, ended) in recovered.outcomes {
        core.holder.add_outcome(&job, token, ended);
    }
    let stewards = core.options.stewards.clone();
    let agent = Rc::new(Agent { core: RefCell::new(core), send_due: Notify::new() });
    for (number, address) in stewards.into_iter().enumerate() {
        tokio::task::spawn_local(streams::follow(agent.clone(), number, address));
    }
    // Checks its clock at intervals far below `MARGIN`.
    let mut check = tokio::time::interval(std::time::Duration::from_millis(20));
    loop {
        check.tick().await;
        let expired = agent.core.borrow_mut().begin_incarnation_if_expired();
        if expired {
            agent.send_due.notify_waiters();
        }
    }
}
