//! The platform front end without its sockets: codecs for the platform's messages, and the [`Session`] that
//! translates between them and the steward's decisions. It does no I/O and reads no clock; callers pass in the time.
//! `docs/design/platform.md` explains the design.

mod calls;
mod config;
mod drains;
mod fields;
mod frames;
mod hold;
mod list_requests;
mod notification;
mod servers;
mod session;
mod settings;
mod slices;
mod subscription;

pub use config::{Addresses, Config};
pub use drains::PendingRevokes;
pub use fields::DecodeError;
pub use frames::{codec, decode, Message, MAX_FRAME, MAX_GREETING, NACK, PONG};
pub use hold::{Held, Hold};
pub use list_requests::{ListAction, ListQuery, ListRequests};
pub use notification::SUBSCRIBE;
pub use ravenspar_steward::{Time, SECOND};
pub use session::{Call, ListError, Metrics, Session, NOTIFICATION_TIMEOUT};
