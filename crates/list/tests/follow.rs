//! The follower never moves backward, whatever updates come in.

use std::collections::BTreeMap;

use proptest::prelude::*;
use ravenspar_list::{FollowError, FollowState, Follower, ListedServer};

#[derive(Clone, Debug, PartialEq)]
struct Server {
    boot: i64,
    leaves: bool,
}

impl ListedServer for Server {
    fn boot(&self) -> i64 {
        self.boot
    }

    fn is_leaving(&self) -> bool {
        self.leaves
    }
}

fn ready(boot: i64) -> Option<Server> {
    Some(Server { boot, leaves: false })
}

fn leaving(boot: i64) -> Option<Server> {
    Some(Server { boot, leaves: true })
}

fn follower() -> Follower<Server> {
    Follower::new(FollowState::default())
}

fn boots(follower: &Follower<Server>) -> Vec<(String, i64)> {
    follower.list().map(|(id, server)| (id.to_owned(), server.boot)).collect()
}

fn a(boot: i64) -> Vec<(String, i64)> {
    vec![("a".to_owned(), boot)]
}

#[test]
fn events_of_lower_revisions_and_duplicates_change_nothing() {
    let mut follower = follower();
    follower.event("a", 5, ready(1));
    follower.event("a", 7, ready(2));
    follower.event("a", 5, ready(1));
    assert_eq!((boots(&follower), follower.ignored, follower.next()), (a(2), 1, 8));
    follower.take_change();
    follower.event("a", 7, ready(2));
    assert!(!follower.take_change());
}

#[test]
fn a_server_that_left_never_comes_back_but_a_dropped_one_may() {
    let mut follower = follower();
    follower.event("a", 1, ready(1));
    follower.event("a", 2, None);
    follower.event("a", 3, ready(1));
    assert_eq!(boots(&follower), a(1));
    follower.event("a", 4, leaving(1));
    follower.event("a", 5, None);
    follower.event("a", 6, ready(1));
    assert_eq!(boots(&follower), []);
    follower.event("a", 7, ready(2));
    assert_eq!(boots(&follower), a(2));
    // Nor does an earlier start once a later one was seen.
    follower.event("a", 8, ready(1));
    assert_eq!(boots(&follower), []);
}

#[test]
fn a_read_after_a_compaction_infers_deletions() {
    let mut follower = follower();
    follower.event("a", 1, ready(1));
    follower.event("b", 2, leaving(1));
    follower.take_change();
    follower.read_begin(9);
    follower.read_entry("a", 1, ready(1));
    follower.read_entry("c", 8, ready(1));
    follower.read_end();
    assert!(follower.take_change());
    assert_eq!(boots(&follower), [a(1), vec![("c".to_owned(), 1)]].concat());
    // The read retired the leaving server, as if its deletion had been seen.
    follower.event("b", 10, ready(1));
    assert_eq!(boots(&follower).len(), 2);
    // A read at an older revision than was reached is ignored.
    follower.read_begin(9);
    follower.read_end();
    assert_eq!(boots(&follower).len(), 2);
}

#[test]
fn undecodable_values_leave_the_known_ones() {
    let mut follower = follower();
    follower.event("a", 1, ready(1));
    follower.undecodable("a", 4);
    follower.undecodable("b", 5);
    assert_eq!((boots(&follower), follower.next()), (a(1), 6));
    follower.read_begin(7);
    follower.read_entry("a", 4, None);
    follower.read_entry("b", 5, None);
    follower.read_end();
    assert_eq!(boots(&follower), a(1));
}

#[test]
fn a_different_or_older_store_is_not_followed() {
    let mut follower = follower();
    assert_eq!(follower.check_store(7, 3), Ok(()));
    follower.event("a", 5, ready(1));
    assert_eq!(follower.check_store(7, 4), Err(FollowError::Backward { known: 5, found: 4 }));
    assert_eq!(follower.check_store(8, 9), Err(FollowError::Cluster { known: 7, found: 8 }));
    // Nor after a restart.
    let mut next: Follower<Server> = Follower::new(follower.state().clone());
    assert!(next.check_store(7, 4).is_err());
}

#[derive(Clone, Debug)]
enum Step {
    Event(usize, i64, Option<(i64, bool)>),
    Undecodable(usize, i64),
    Read(i64, Vec<(usize, i64, i64, bool)>),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let server = || prop::option::of((1i64..5, any::<bool>()));
    prop_oneof![
        6 => (0usize..3, 1i64..30, server()).prop_map(|(id, revision, server)| Step::Event(id, revision, server)),
        1 => (0usize..3, 1i64..30).prop_map(|(id, revision)| Step::Undecodable(id, revision)),
        2 => (1i64..30, prop::collection::vec((0usize..3, 1i64..30, 1i64..5, any::<bool>()), 0..4))
            .prop_map(|(revision, all)| Step::Read(revision, all)),
        1 => Just(Step::Restart),
    ]
}

proptest! {
    /// Whatever updates come in whatever order, the revision never decreases and a retired start never comes back.
    #[test]
    fn nothing_moves_backward(steps in prop::collection::vec(step(), 0..60)) {
        let mut follower = follower();
        let mut revision = 0;
        let mut retired: BTreeMap<String, i64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Event(id, at, server) => {
                    let server = server.map(|(boot, leaves)| Server { boot, leaves });
                    follower.event(&id.to_string(), at, server);
                }
                Step::Undecodable(id, at) => follower.undecodable(&id.to_string(), at),
                Step::Read(at, all) => {
                    follower.read_begin(at);
                    for (id, entry, boot, leaves) in all {
                        follower.read_entry(&id.to_string(), entry.min(at), Some(Server { boot, leaves }));
                    }
                    follower.read_end();
                }
                Step::Restart => follower = Follower::new(follower.state().clone()),
            }
            prop_assert!(follower.state().revision >= revision);
            revision = follower.state().revision;
            for (id, boot) in &retired {
                prop_assert!(follower.state().retired.get(id).is_some_and(|now| now >= boot));
            }
            retired = follower.state().retired.clone();
            for (id, server) in follower.list() {
                prop_assert!(retired.get(id).is_none_or(|retired| server.boot > *retired), "{} came back", id);
            }
        }
    }
}
