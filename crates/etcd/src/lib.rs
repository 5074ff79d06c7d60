//! A client of etcd's public v3 API: the parts of keys, transactions, leases and watches that ravenspar needs.
//!
//! Reads are retried with jitter at the next endpoint. A transaction whose outcome is unknown is never simply retried:
//! [`Client::commit`] fences it off and finds out whether it took effect. Sources: etcd.io, "API reference v3" and
//! "API guarantees".

mod client;
mod commit;
mod connector;
mod convert;
mod watch;

pub use client::{check_endpoint, Client};
pub use ravenspar_store::{prefix_end, CommitOutcome, FencedTransaction, StoreError};
pub use watch::Watch;

/// The API's messages and services, generated from `proto/etcd.proto`.
pub mod api {
    #![allow(clippy::all, clippy::pedantic)]
    tonic::include_proto!("etcdserverpb");
}
