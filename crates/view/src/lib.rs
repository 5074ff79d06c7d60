//! The view of the fleet that stewards keep among themselves. Pure: no I/O, no clock; times are whole tenths of a
//! millisecond, chance is seeded.
//!
//! Datagrams and times are told to a [`View`], which is then asked for what to send until there is none. What it shows
//! is a hint of great quality and never authority: who may publish is settled by leases, terms and compared writes.
//! `docs/design/view.md` has the reasoning.

mod gossip;
mod probe;
pub mod show;
mod table;
mod view;
mod wire;

use std::net::SocketAddr;

pub use table::{Entry, State};
pub use view::{Figures, View};
pub use wire::{Kind, BODY};

/// In whole tenths of a millisecond.
pub type Time = i64;

/// A name's number: the first eight bytes of its SHA-256.
pub type Id = u64;

/// A steward from one start of its process to the next, or to its being declared gone; a later one has a higher number.
pub type Life = u64;

/// The longest name, in bytes: three records have room in a datagram beside what every probe says.
pub const NAME: usize = 32;

/// What a steward says of itself to the others beside its being there: the forwarders joined to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    pub joined: u32,
    pub digest: u64,
}

impl Reach {
    /// Of the numbers of the forwarders, in any order.
    pub fn of(joined: impl Iterator<Item = usize>) -> Reach {
        joined.fold(Reach::default(), |sum, number| Reach {
            joined: sum.joined + 1,
            digest: sum.digest ^ mix(number as u64),
        })
    }
}

/// Of one steward, from its settings.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Where the fleet may be found at the start, and again after a split.
    pub peers: Vec<SocketAddr>,
    /// Between two probes of the same member.
    pub round: Time,
    /// For how long a member that was lost is knocked at, in case it comes back where it was.
    pub forget: Time,
    pub switches: Switches,
}

impl Settings {
    /// With times as they are unless said otherwise.
    pub fn new(name: &str, address: SocketAddr, peers: &[SocketAddr]) -> Settings {
        Settings {
            name: name.to_owned(),
            address,
            peers: peers.to_vec(),
            round: ROUND,
            forget: FORGET,
            switches: Switches::default(),
        }
    }
}

/// Three unanswered rounds, as long again for answers, and two until the view is at rest make 2.6 s: sooner than the lease of
/// a membership is over, so that an heir knows before it may act. At the delays within one region, some milliseconds, a
/// third of it is time enough for an answer.
pub const ROUND: Time = 3_000;

/// Longer than any split that is healed without somebody's doing; past it the settings' peers are still tried.
pub const FORGET: Time = 6_000_000;

/// What a test leaves out, to show that its judge sees it. Never set by the product.
#[derive(Clone, Copy, Debug, Default)]
pub struct Switches {
    /// One member's word is enough to drop another.
    pub single_observer: bool,
    /// A drop follows the first word at once, with no time to answer it.
    pub no_suspicion: bool,
    /// Copies are never compared, neither after a split nor after losses.
    pub no_comparison: bool,
}

/// Something to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    pub to: SocketAddr,
    pub kind: Kind,
    pub body: Vec<u8>,
}

/// The number of a name.
pub fn id(name: &str) -> Id {
    use sha2::{Digest as _, Sha256};
    let hash = Sha256::digest(name.as_bytes());
    hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Mixes the bits of a number (the finalizer of splitmix64, Steele et al. 2014), for digests and rings. Not for secrets.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}
