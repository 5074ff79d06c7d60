//! A client of etcd's public v3 API: keys, transactions and leases, as far as ravenspar needs them.
//!
//! Reads are retried with jitter at the next endpoint. A transaction whose outcome is unknown is never repeated
//! blindly: [`Client::commit`] fences it off and reads back what became of it. Sources: etcd.io, "API reference v3" and
//! "API guarantees".

mod client;
mod commit;
mod watch;
mod words;

pub use client::{check_endpoint, Client};
pub use ravenspar_store::{prefix_end, Committed, Fault, Guarded};
pub use watch::Watch;

/// The API's messages and services, generated from `proto/etcd.proto`.
pub mod api {
    #![allow(clippy::all, clippy::pedantic)]
    tonic::include_proto!("etcdserverpb");
}
