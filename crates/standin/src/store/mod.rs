//! A stand-in for etcd: keys with revisions, leases, transactions and watches as in its public API, with injected faults.

mod memory;
mod mvcc;
mod server;
mod watching;

pub use memory::Memory;
pub use mvcc::{Change, Mvcc};
pub use server::{Faults, Store};
