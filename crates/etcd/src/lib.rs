//! A client of etcd's public v3 API: keys, transactions and leases, as far as ravenspar needs them.
//!
//! Reads are retried with jitter at the next endpoint. A transaction whose outcome is unknown is never repeated
//! blindly: [`Client::commit`] fences it off and reads back what became of it. Sources: etcd.io, "API reference v3" and
//! "API guarantees".

mod client;
mod commit;
mod watch;

pub use client::{check_endpoint, Client, Fault};
pub use commit::{Committed, Guarded};
pub use watch::Watch;

/// The API's messages and services, generated from `proto/etcd.proto`.
pub mod api {
    #![allow(clippy::all, clippy::pedantic)]
    tonic::include_proto!("etcdserverpb");
}

/// The end of the range of all keys with a prefix: the prefix with its last byte that can grow grown by one.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0] // the API's word for all keys from there on
}

#[cfg(test)]
mod tests {
    use super::prefix_end;

    #[test]
    fn a_prefix_ends_before_the_next() {
        assert_eq!(prefix_end(b"ab"), b"ac");
        assert_eq!(prefix_end(b"a\xff"), b"b");
        assert_eq!(prefix_end(b"\xff"), b"\0");
    }
}
