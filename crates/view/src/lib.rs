//! Gossip-based membership of stewards, in the manner of SWIM and Rapid: each steward keeps a view of the fleet. Pure: no
//! I/O, no clock, and random choices are seeded.
//!
//! The caller passes received datagrams and the time to a [`View`], then polls it for datagrams to send until there are
//! none. The view is a good hint but no authority: who may publish is decided by leases, terms and conditional writes.
//! `docs/design/view.md` has the reasoning.

mod gossip;
mod probe;
pub mod show;
mod table;
mod view;
mod wire;

use std::net::SocketAddr;

pub use table::{Entry, State};
pub use view::{Metrics, View};
pub use wire::{Kind, MAX_BODY_LENGTH};

/// A point in time or a duration, in units of 0.1 ms.
pub type Time = i64;

/// Id of a name: the first eight bytes of its SHA-256.
pub type Id = u64;

/// Number of a steward's incarnation. A steward takes a higher one when its process starts and when it rejoins after it
/// was dropped.
pub type Incarnation = u64;

/// The longest name, in bytes. Three records with such names fit into a datagram beside a probe's status.
pub const MAX_NAME_LENGTH: usize = 32;

/// The forwarders joined to a steward, as it reports them to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ForwarderSummary {
    /// How many forwarders are joined.
    pub joined: u32,
    /// Digest of their numbers, independent of the order.
    pub digest: u64,
}

impl ForwarderSummary {
    /// Summarizes the numbers of the joined forwarders.
    pub fn from_numbers(joined: impl Iterator<Item = usize>) -> ForwarderSummary {
        joined.fold(ForwarderSummary::default(), |sum, number| ForwarderSummary {
            joined: sum.joined + 1,
            digest: sum.digest ^ mix(number as u64),
        })
    }
}

/// Configuration of a steward's [`View`].
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// The address at which other stewards reach it.
    pub address: SocketAddr,
    /// Addresses to join the fleet at, at the start and after a split.
    pub peers: Vec<SocketAddr>,
    /// Interval between two probes of the same member.
    pub round: Time,
    /// How long the address of a lost member is still probed, in case it comes back there.
    pub forget: Time,
    pub toggles: FeatureToggles,
}

impl Settings {
    /// Settings with the default times.
    pub fn new(name: &str, address: SocketAddr, peers: &[SocketAddr]) -> Settings {
        Settings {
            name: name.to_owned(),
            address,
            peers: peers.to_vec(),
            round: DEFAULT_ROUND,
            forget: DEFAULT_FORGET,
            toggles: FeatureToggles::default(),
        }
    }
}

/// Default of [`Settings::round`]. Three unanswered rounds, three to refute, and two until the view is stable make 2.6 s:
/// less than the lease of a membership, so that a successor knows of a failure before it may act. With delays of a few
/// milliseconds, as within one region, a third of a round is enough for an answer.
pub const DEFAULT_ROUND: Time = 3_000;

/// Default of [`Settings::forget`]: longer than any split that heals without an operator. The configured peers are probed
/// even after that.
pub const DEFAULT_FORGET: Time = 6_000_000;

/// Parts of the protocol that a test turns off to show that its checks detect it. Never set in production.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeatureToggles {
    /// One observer's suspicion is enough to drop a member.
    pub single_observer: bool,
    /// Members are dropped at once, with no time to refute the suspicions.
    pub no_suspicion: bool,
    /// Tables are never compared, neither after a split nor after lost datagrams.
    pub no_comparison: bool,
}

/// A datagram to send: its receiver, kind and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub to: SocketAddr,
    pub kind: Kind,
    pub body: Vec<u8>,
}

/// The id of a name.
pub fn id(name: &str) -> Id {
    use sha2::{Digest as _, Sha256};
    let hash = Sha256::digest(name.as_bytes());
    hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Mixes the bits of a number (the finalizer of splitmix64, Steele et al. 2014), for digests and rings. Not
/// cryptographic.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}
