//! Resources of the process that outlive its incarnations as a member.

use std::rc::Rc;

use ravenspar_net::Clock;
use ravenspar_record::ServerRow;
use ravenspar_sharing::steward_count::StewardCount;
use ravenspar_steward::LiveNumber;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;

use crate::failpoint::Failpoint;
use crate::fleet::Fleet;
use crate::list::Notification;
use crate::recorder::Recorder;

/// Why a command of the program failed; the variant decides the exit code.
#[derive(Debug)]
pub enum CommandError {
    /// The command line, a settings file or other input is wrong.
    InvalidInput(String),
    Failed(String),
}

/// Resources that are opened once and kept for as long as the process runs.
pub struct ProcessContext {
    pub clock: Clock,
    pub listener: TcpListener,
    pub list: mpsc::Receiver<Notification>,
    /// Makes the list source read the list before its next scheduled time.
    pub refresh_list: std::sync::Arc<tokio::sync::Notify>,
    /// Writes this steward's own record: the last list, and without a shared store the slices too.
    pub embedded: Rc<Recorder>,
    pub terminate: Signal,
    pub interrupt: Signal,
    /// Limit on open streams: two for each proxy (its own and a replacement), and some that have not said hello.
    pub max_streams: usize,
    pub failpoint: Option<Failpoint>,
    /// The listener for the agents of sites, if the jobs duty is configured.
    pub agents: Option<std::sync::Arc<TcpListener>>,
    /// The view of the fleet, if one is configured.
    pub fleet: Option<Fleet>,
    /// The number of stewards that decisions divide by, where the view provides it.
    pub steward_count: Option<(StewardCount, LiveNumber)>,
    /// The last list received.
    pub last_list: Vec<ServerRow>,
}
