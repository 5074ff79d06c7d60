//! Leases of jobs held by sites. Pure: no I/O and no clock; the caller passes in the times.
//!
//! A *job* takes effect once, whichever site runs it; a *site* is a group of plan servers with one agent that runs
//! its jobs. Each job has one entry at the store, its line, which is only written if it is still as it was read: the
//! revision of the write that leases it to a site is its *token*, and tokens only grow. A site is bound to a lease of
//! its own at the store, which any steward renews on its behalf; a job is leased again only in a transaction that
//! finds the site's key gone.
//!
//! [`JobLine`] is a job's line; [`Scheduler`] decides for the leader of the duty; [`AgentSessions`] is a steward's
//! end of the agents' sessions; [`decide_outcome`] decides on an outcome at any steward; [`JobAgent`]
//! is the agent's side. `docs/design/jobs.md` has the reasoning.

mod agent_sessions;
mod job_agent;
mod job_line;
mod scheduler;

pub use agent_sessions::{Action, AgentSessions, Hello, Metrics as SessionMetrics};
pub use job_agent::{HeldJob, JobAgent, OrderOutcome};
pub use job_line::{decide_outcome, Ended, Job, JobLine, State, Verdict};
pub use ravenspar_sharing::{Incarnation, Time};
pub use scheduler::{Limits, Metrics, Scheduler, Site, Write};

/// The revision of the write by which a job was leased to a site.
pub type Token = u64;
