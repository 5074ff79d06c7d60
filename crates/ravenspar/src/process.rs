//! What lasts for as long as the process does, whatever lives it has as a member.

use std::rc::Rc;

use ravenspar_net::Clock;
use ravenspar_record::ServerRow;
use ravenspar_sharing::counted::Counted;
use ravenspar_steward::Live;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;

use crate::failpoint::Halt;
use crate::fleet::Fleet;
use crate::list::Notification;
use crate::recorder::Recorder;

/// Why the steward could not start or go on, and whether that is bad input.
#[derive(Debug)]
pub enum Fault {
    Input(String),
    Failed(String),
}

/// What lasts for as long as the process does.
pub struct Door {
    pub clock: Clock,
    pub listener: TcpListener,
    pub list: mpsc::Receiver<Notification>,
    /// Has the list read before its time.
    pub look: std::sync::Arc<tokio::sync::Notify>,
    /// Where the list last seen is kept, and without a shared store the slices too.
    pub kept: Rc<Recorder>,
    pub terminate: Signal,
    pub interrupt: Signal,
    /// Streams open at a time: each proxy's with one that replaces it, and some that have not said hello.
    pub most: usize,
    pub halt: Option<Halt>,
    /// Where agents of sites come, if there is the duty of jobs.
    pub agents: Option<std::sync::Arc<TcpListener>>,
    /// The view of the fleet, if there is one.
    pub fleet: Option<Fleet>,
    /// How many stewards the decisions go by, where the view says it.
    pub counted: Option<(Counted, Live)>,
    /// The list last seen.
    pub rows: Vec<ServerRow>,
}
