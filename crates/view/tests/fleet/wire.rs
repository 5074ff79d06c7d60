//! Malformed and extreme bodies.

use proptest::prelude::*;
use ravenspar_view::show::{MemberInfo, Page};
use ravenspar_view::{ForwarderSummary, Kind, Settings, State, View, MAX_BODY_LENGTH};

use crate::common::{address, SECOND};

fn kind() -> impl Strategy<Value = Kind> {
    (3u8..=11).prop_map(|byte| Kind::read(byte).expect("a known kind"))
}

/// Body with one record, as another steward would send it.
fn record(name: &str, incarnation: u64, refutations: u32, state: u8) -> Vec<u8> {
    let mut body = vec![state, 4, 127, 0, 0, 1, 0, 9];
    body.extend(incarnation.to_be_bytes());
    body.extend(refutations.to_be_bytes());
    body.push(name.len() as u8);
    body.extend(name.as_bytes());
    body
}

#[test]
fn extreme_incarnations_and_refutations_do_not_stop_a_member() {
    for (incarnation, refutations, state) in
        [(u64::MAX, 0, 1), (u64::MAX / 2, u32::MAX, 3), (1, u32::MAX, 1), (1, 0, 3)]
    {
        let mut view = View::new(SECOND, 1, 1, Settings::new("a", address(0), &[]));
        view.handle(SECOND, address(1), Kind::Gossip, &record("a", incarnation, refutations, state));
        (1..60).for_each(|second| view.handle_timeout(second * SECOND));
        assert_eq!(
            view.names().map(|(name, _)| name).collect::<Vec<_>>(),
            ["a"],
            "{incarnation} {refutations} {state}"
        );
        assert!(view.incarnation() == 1 || view.incarnation() == 2 || view.incarnation() == u64::MAX / 2 + 1);
    }
}

proptest! {
    #[test]
    fn a_page_reads_as_it_was_written(token: u32, index: u16, number: u32, digest: u64, flags in 0u8..16,
        name in "[a-z]{1,32}", suspected_by in prop::collection::vec(any::<u64>(), 0..5), joined: u32, v6: bool) {
        let ip: std::net::IpAddr = if v6 { [7; 16].into() } else { [127, 0, 0, 1].into() };
        let state = [State::Alive, State::Left, State::Gone][usize::from(flags) % 3];
        let member = MemberInfo {
            name, incarnation: digest ^ 7, address: (ip, index).into(), state, shown: flags & 1 != 0,
            since_ms: number ^ token, suspected_by, forwarders: ForwarderSummary { joined, digest },
            view: (flags & 2 != 0).then_some((number, digest)),
        };
        let page = Page {
            token, index, number, digest, settled: flags & 4 != 0, cut_off: flags & 8 != 0,
            member: (flags != 0).then_some(member),
        };
        prop_assert!(page.write().len() <= MAX_BODY_LENGTH);
        prop_assert_eq!(Page::read(&page.write()), Some(page));
    }

    #[test]
    fn any_page_is_read_or_refused(body in prop::collection::vec(any::<u8>(), 0..2 * MAX_BODY_LENGTH)) {
        if let Some(page) = Page::read(&body) {
            prop_assert!(page.member.is_none_or(|member| member.name.len() <= 32));
        }
    }

    #[test]
    fn any_body_is_handled_or_ignored(bodies in prop::collection::vec(
        (kind(), prop::collection::vec(any::<u8>(), 0..2 * MAX_BODY_LENGTH)), 1..20)) {
        let mut view = View::new(SECOND, 1, 1, Settings::new("a", address(0), &[address(1)]));
        for (kind, body) in bodies {
            view.handle(SECOND, address(1), kind, &body);
            while let Some(send) = view.poll() {
                prop_assert!(send.body.len() <= MAX_BODY_LENGTH);
            }
        }
        prop_assert_eq!(view.names().next(), Some(("a", 1)));
    }
}
