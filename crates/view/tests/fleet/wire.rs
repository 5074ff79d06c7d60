//! Bodies that no steward sent.

use proptest::prelude::*;
use ravenspar_view::{Kind, Settings, View, BODY};

use crate::common::{address, SECOND};

fn kind() -> impl Strategy<Value = Kind> {
    (3u8..=9).prop_map(|byte| Kind::read(byte).expect("a kind"))
}

proptest! {
    #[test]
    fn any_body_is_passed_over_or_taken_in(bodies in prop::collection::vec(
        (kind(), prop::collection::vec(any::<u8>(), 0..2 * BODY)), 1..20)) {
        let mut view = View::new(SECOND, 1, 1, Settings::new("a", address(0), &[address(1)]));
        for (kind, body) in bodies {
            view.handle(SECOND, address(1), kind, &body);
            while let Some(send) = view.poll() {
                prop_assert!(send.body.len() <= BODY);
            }
        }
        prop_assert_eq!(view.names().next(), Some(("a", 1)));
    }
}
