//! Leases of jobs held by sites. Pure: no I/O, no clock; times are whole tenths of a millisecond, handed in.
//!
//! A *job* takes effect once, whoever runs it; a *site* is a group of plan servers with one agent that takes jobs and runs
//! them. Each job has one line at the store, written only by comparing it with what it was: the revision of the write that
//! gives it to a site is its *token*, and tokens only grow. A site is bound to a lease of its own at the store, which any
//! steward renews on its behalf; a job is given out again only in a transaction that finds the site's key gone.
//!
//! [`Line`] is that line; [`Giver`] decides for the owner of the duty; [`judge`] decides on an outcome at any steward;
//! [`Holder`] is the agent's side. `docs/design/jobs.md` has the reasoning.

mod agent_sessions;
mod job_agent;
mod job_record;
mod scheduler;

pub use agent_sessions::{Act, Desk, Figures as DeskFigures, Hello};
pub use job_agent::{Held, Holder, Told};
pub use job_record::{judge, Ended, Job, Line, State, Verdict};
pub use ravenspar_sharing::{Life, Time};
pub use scheduler::{Figures, Giver, Limits, Site, Write};

/// The revision of the write by which a job was given out.
pub type Token = u64;
