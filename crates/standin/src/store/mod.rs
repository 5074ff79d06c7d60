//! A stand-in for etcd: keys with revisions, leases and transactions as its public API says, and faults to inject.

mod mvcc;
mod server;
mod watching;

pub use mvcc::Mvcc;
pub use server::{Faults, Store};
