//! Queries of a steward's view, answered one member per datagram, so that datagrams don't grow with the fleet.

use std::net::SocketAddr;

use bytes::{Buf, BufMut};

use crate::table::State;
use crate::wire::{read_address, write_address};
use crate::{ForwarderSummary, Id, Incarnation, MAX_NAME_LENGTH};

/// Suspecting observers that are listed per member.
const MAX_SUSPECTING_OBSERVERS: usize = 4;

/// Requests the page with this index; the answer repeats the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageRequest {
    pub token: u32,
    pub index: u16,
}

/// Summary of the view, and the member at one index of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    pub token: u32,
    pub index: u16,
    /// Number and digest of the view.
    pub number: u32,
    pub digest: u64,
    pub settled: bool,
    pub cut_off: bool,
    /// `None` past the last index.
    pub member: Option<MemberInfo>,
}

/// A member as shown to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    pub name: String,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub state: State,
    /// Whether this incarnation is in the view.
    pub shown: bool,
    /// Time since it entered its state, in milliseconds.
    pub since_ms: u32,
    /// Observers that suspect it.
    pub suspected_by: Vec<Id>,
    pub forwarders: ForwarderSummary,
    /// Number and digest of the view that it last reported.
    pub view: Option<(u32, u64)>,
}

impl PageRequest {
    pub fn write(&self) -> Vec<u8> {
        let mut body = Vec::new();
        body.put_u32(self.token);
        body.put_u16(self.index);
        body
    }

    pub fn read(mut body: &[u8]) -> Option<PageRequest> {
        let request = PageRequest { token: body.try_get_u32().ok()?, index: body.try_get_u16().ok()? };
        body.is_empty().then_some(request)
    }
}

// Flags of a page.
const SETTLED: u8 = 1;
const CUT_OFF: u8 = 2;
const MEMBER: u8 = 4;
const SHOWN: u8 = 8;
const HAS_VIEW: u8 = 16;

impl Page {
    pub fn write(&self) -> Vec<u8> {
        let mut body = Vec::new();
        body.put_u32(self.token);
        body.put_u16(self.index);
        body.put_u32(self.number);
        body.put_u64(self.digest);
        let member = self.member.as_ref();
        let flag = |set: bool, flag: u8| if set { flag } else { 0 };
        body.put_u8(
            flag(self.settled, SETTLED)
                | flag(self.cut_off, CUT_OFF)
                | flag(member.is_some(), MEMBER)
                | flag(member.is_some_and(|member| member.shown), SHOWN)
                | flag(member.is_some_and(|member| member.view.is_some()), HAS_VIEW),
        );
        let Some(member) = member else { return body };
        body.put_u8(member.state as u8);
        body.put_u64(member.incarnation);
        write_address(&member.address, &mut body);
        body.put_u32(member.since_ms);
        body.put_u32(member.forwarders.joined);
        body.put_u64(member.forwarders.digest);
        let (number, digest) = member.view.unwrap_or_default();
        body.put_u32(number);
        body.put_u64(digest);
        body.put_u8(member.name.len() as u8);
        body.put_slice(member.name.as_bytes());
        member.suspected_by.iter().take(MAX_SUSPECTING_OBSERVERS).for_each(|accuser| body.put_u64(*accuser));
        body
    }

    pub fn read(mut body: &[u8]) -> Option<Page> {
        let from = &mut body;
        let (token, index) = (from.try_get_u32().ok()?, from.try_get_u16().ok()?);
        let (number, digest, flags) =
            (from.try_get_u32().ok()?, from.try_get_u64().ok()?, from.try_get_u8().ok()?);
        let mut page = Page {
            token,
            index,
            number,
            digest,
            settled: flags & SETTLED != 0,
            cut_off: flags & CUT_OFF != 0,
            member: None,
        };
        if flags & MEMBER == 0 {
            return from.is_empty().then_some(page);
        }
        let state = match from.try_get_u8().ok()? {
            0 => State::Alive,
            1 => State::Left,
            2 => State::Gone,
            _ => return None,
        };
        let incarnation = from.try_get_u64().ok()?;
        let address = read_address(from)?;
        let since_ms = from.try_get_u32().ok()?;
        let forwarders =
            ForwarderSummary { joined: from.try_get_u32().ok()?, digest: from.try_get_u64().ok()? };
        let view = (from.try_get_u32().ok()?, from.try_get_u64().ok()?);
        let length = usize::from(from.try_get_u8().ok()?);
        if length == 0 || length > MAX_NAME_LENGTH || from.remaining() < length {
            return None;
        }
        let name = std::str::from_utf8(&from[..length]).ok()?.to_owned();
        from.advance(length);
        let mut suspected_by = Vec::new();
        while !from.is_empty() {
            suspected_by.push(from.try_get_u64().ok()?);
        }
        page.member = Some(MemberInfo {
            name,
            incarnation,
            address,
            state,
            shown: flags & SHOWN != 0,
            since_ms,
            suspected_by,
            forwarders,
            view: (flags & HAS_VIEW != 0).then_some(view),
        });
        Some(page)
    }
}
