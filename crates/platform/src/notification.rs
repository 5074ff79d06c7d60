//! Decoding of the store's notifications, one JSON object per line.

use ravenspar_steward::Time;
use serde_json::Value;

use crate::fields::{self, DecodeError};

/// The request that subscribes to the store's notifications.
pub const SUBSCRIBE: &[u8] = br#"{"jsonrpc":"2.0","id":1,"method":"subscribe"}"#;

/// A subscription that sends other notifications but no heartbeat for this long is dropped. The store sends one
/// heartbeat a second, and only a heartbeat shows that the snapshot is complete.
pub const HEARTBEAT_TIMEOUT: Time = 5 * ravenspar_steward::SECOND;

/// A notification of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// The subscription is accepted; the snapshot of the current state follows.
    Subscribed,
    Heartbeat,
    /// A proxy has joined; `usual` is its usual number of requests per second.
    Joined {
        proxy: usize,
        usual: f64,
    },
    Left {
        proxy: usize,
    },
    /// A proxy has acknowledged a mark.
    Acknowledged {
        proxy: usize,
        number: u16,
    },
    Assigned {
        slice: usize,
    },
    Unassigned {
        slice: usize,
    },
    /// The line of a slice: the name of its server, and its weight.
    Line {
        slice: usize,
        server: String,
        weight: f64,
    },
    /// A notification that the decisions don't depend on.
    Other,
}

/// Upper bounds of the proxy and slice indices in notifications.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub proxies: usize,
    pub slices: usize,
}

impl Notification {
    /// Decodes one line. Fails if a field is missing or out of range.
    pub fn read(line: &[u8], sizes: Sizes) -> Result<Notification, DecodeError> {
        let notification: Value = serde_json::from_slice(line).unwrap_or_default();
        let params = &notification["params"];
        let proxy = || fields::integer(params, "id", sizes.proxies);
        let slice = || fields::integer(params, "range", sizes.slices);
        Ok(match notification["method"].as_str() {
            None if notification["result"] == true => Notification::Subscribed,
            None => return fields::invalid("result", "true"),
            Some("ping") => Notification::Heartbeat,
            Some("SUBSCRIBE") => {
                Notification::Joined { proxy: proxy()?, usual: fields::number(params, "rps").unwrap_or(0.0) }
            }
            Some("CLOSED") => Notification::Left { proxy: proxy()? },
            Some("ACK") => Notification::Acknowledged {
                proxy: proxy()?,
                number: fields::integer(params, "seq", 65_536)? as u16,
            },
            Some("GRANT") if fields::flag(params, "flag")? => Notification::Assigned { slice: slice()? },
            Some("GRANT") => Notification::Unassigned { slice: slice()? },
            Some("ROW") => Notification::Line {
                slice: slice()?,
                server: fields::text(params, "target")?.to_owned(),
                weight: fields::number(params, "rps")?,
            },
            Some(_) => Notification::Other,
        })
    }
}
