//! A stand-in for etcd: keys with revisions, leases and transactions as its public API says, and faults to inject.

mod memory;
mod mvcc;
mod server;
mod watching;

pub use memory::Memory;
pub use mvcc::{Change, Mvcc};
pub use server::{Faults, Store};
