//! The store's notifications: what one line of them says.

use ravenspar_steward::Time;
use serde_json::Value;

use crate::fields::{self, Fault};

/// The call that asks for news.
pub const SUBSCRIBE: &[u8] = br#"{"jsonrpc":"2.0","id":1,"method":"subscribe"}"#;

/// Without a heartbeat for so long, of which there is one a second, a subscription that tells other things is given up:
/// what stands is not known to be told whole before one has come.
pub const HEARTBEAT_WITHIN: Time = 5 * ravenspar_steward::SECOND;

/// One line of the store's notifications.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// The subscription is taken; what stands follows.
    Subscribed,
    Heartbeat,
    /// A proxy has joined, with the requests a second that it usually gets.
    Joined {
        proxy: usize,
        usual: f64,
    },
    Left {
        proxy: usize,
    },
    /// A proxy has answered a mark.
    Answered {
        proxy: usize,
        number: u16,
    },
    Assigned {
        slice: usize,
    },
    Withdrawn {
        slice: usize,
    },
    /// The line of a slice's table: its server's name, and its weight.
    Line {
        slice: usize,
        server: String,
        weight: f64,
    },
    /// Something that the decisions need not know.
    Other,
}

/// How many proxies and slices there are.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub proxies: usize,
    pub slices: usize,
}

impl Notification {
    /// Fails, with nothing learnt, where the line can't be used.
    pub fn read(line: &[u8], sizes: Sizes) -> Result<Notification, Fault> {
        let news: Value = serde_json::from_slice(line).unwrap_or_default();
        let of = &news["params"];
        let proxy = || fields::whole(of, "id", sizes.proxies);
        let slice = || fields::whole(of, "range", sizes.slices);
        Ok(match news["method"].as_str() {
            None if news["result"] == true => Notification::Subscribed,
            None => return fields::fault("result", "true"),
            Some("ping") => Notification::Heartbeat,
            Some("SUBSCRIBE") => {
                Notification::Joined { proxy: proxy()?, usual: fields::number(of, "rps").unwrap_or(0.0) }
            }
            Some("CLOSED") => Notification::Left { proxy: proxy()? },
            Some("ACK") => {
                Notification::Answered { proxy: proxy()?, number: fields::whole(of, "seq", 65_536)? as u16 }
            }
            Some("GRANT") if fields::flag(of, "flag")? => Notification::Assigned { slice: slice()? },
            Some("GRANT") => Notification::Withdrawn { slice: slice()? },
            Some("ROW") => Notification::Line {
                slice: slice()?,
                server: fields::text(of, "target")?.to_owned(),
                weight: fields::number(of, "rps")?,
            },
            Some(_) => Notification::Other,
        })
    }
}
