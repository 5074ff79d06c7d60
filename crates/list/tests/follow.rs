//! The follower never moves backward, whatever comes in.

use std::collections::BTreeMap;

use proptest::prelude::*;
use ravenspar_list::{Follower, Kept, Says, Stop};

#[derive(Clone, Debug, PartialEq)]
struct Said {
    boot: i64,
    leaves: bool,
}

impl Says for Said {
    fn boot(&self) -> i64 {
        self.boot
    }

    fn leaves(&self) -> bool {
        self.leaves
    }
}

fn ready(boot: i64) -> Option<Said> {
    Some(Said { boot, leaves: false })
}

fn drains(boot: i64) -> Option<Said> {
    Some(Said { boot, leaves: true })
}

fn follower() -> Follower<Said> {
    Follower::new(Kept::default())
}

fn boots(follower: &Follower<Said>) -> Vec<(String, i64)> {
    follower.list().map(|(id, said)| (id.to_owned(), said.boot)).collect()
}

fn a(boot: i64) -> Vec<(String, i64)> {
    vec![("a".to_owned(), boot)]
}

#[test]
fn events_of_lower_revisions_and_twice_the_same_change_nothing() {
    let mut follower = follower();
    follower.event("a", 5, ready(1));
    follower.event("a", 7, ready(2));
    follower.event("a", 5, ready(1));
    assert_eq!((boots(&follower), follower.refused, follower.next()), (a(2), 1, 8));
    follower.take_change();
    follower.event("a", 7, ready(2));
    assert!(!follower.take_change());
}

#[test]
fn one_that_said_it_leaves_never_comes_back_and_one_merely_dropped_may() {
    let mut follower = follower();
    follower.event("a", 1, ready(1));
    follower.event("a", 2, None);
    follower.event("a", 3, ready(1));
    assert_eq!(boots(&follower), a(1));
    follower.event("a", 4, drains(1));
    follower.event("a", 5, None);
    follower.event("a", 6, ready(1));
    assert_eq!(boots(&follower), []);
    follower.event("a", 7, ready(2));
    assert_eq!(boots(&follower), a(2));
    // Nor does a start that was followed by a later one.
    follower.event("a", 8, ready(1));
    assert_eq!(boots(&follower), []);
}

#[test]
fn a_read_after_a_compaction_works_deletions_out() {
    let mut follower = follower();
    follower.event("a", 1, ready(1));
    follower.event("b", 2, drains(1));
    follower.take_change();
    follower.read_begin(9);
    follower.read_entry("a", 1, ready(1));
    follower.read_entry("c", 8, ready(1));
    follower.read_end();
    assert!(follower.take_change());
    assert_eq!(boots(&follower), [a(1), vec![("c".to_owned(), 1)]].concat());
    // The drained one was retired by it, as if its deletion had been seen.
    follower.event("b", 10, ready(1));
    assert_eq!(boots(&follower).len(), 2);
    // A read that is older than what was taken in is none.
    follower.read_begin(9);
    follower.read_end();
    assert_eq!(boots(&follower).len(), 2);
}

#[test]
fn what_cant_be_read_leaves_what_is_known() {
    let mut follower = follower();
    follower.event("a", 1, ready(1));
    follower.unread("a", 4);
    follower.unread("b", 5);
    assert_eq!((boots(&follower), follower.next()), (a(1), 6));
    follower.read_begin(7);
    follower.read_entry("a", 4, None);
    follower.read_entry("b", 5, None);
    follower.read_end();
    assert_eq!(boots(&follower), a(1));
}

#[test]
fn another_or_an_older_store_is_not_followed() {
    let mut follower = follower();
    assert_eq!(follower.meets(7, 3), Ok(()));
    follower.event("a", 5, ready(1));
    assert_eq!(follower.meets(7, 4), Err(Stop::Backward { known: 5, found: 4 }));
    assert_eq!(follower.meets(8, 9), Err(Stop::Cluster { known: 7, found: 8 }));
    // Nor by the next process.
    let mut next: Follower<Said> = Follower::new(follower.kept().clone());
    assert!(next.meets(7, 4).is_err());
}

#[derive(Clone, Debug)]
enum Step {
    Event(usize, i64, Option<(i64, bool)>),
    Unread(usize, i64),
    Read(i64, Vec<(usize, i64, i64, bool)>),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let said = || prop::option::of((1i64..5, any::<bool>()));
    prop_oneof![
        6 => (0usize..3, 1i64..30, said()).prop_map(|(id, revision, said)| Step::Event(id, revision, said)),
        1 => (0usize..3, 1i64..30).prop_map(|(id, revision)| Step::Unread(id, revision)),
        2 => (1i64..30, prop::collection::vec((0usize..3, 1i64..30, 1i64..5, any::<bool>()), 0..4))
            .prop_map(|(revision, all)| Step::Read(revision, all)),
        1 => Just(Step::Restart),
    ]
}

proptest! {
    /// Whatever is told in whatever order: the revision never falls, a retired start is never shown again.
    #[test]
    fn nothing_moves_backward(steps in prop::collection::vec(step(), 0..60)) {
        let mut follower = follower();
        let mut revision = 0;
        let mut retired: BTreeMap<String, i64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Event(id, at, said) => {
                    let said = said.map(|(boot, leaves)| Said { boot, leaves });
                    follower.event(&id.to_string(), at, said);
                }
                Step::Unread(id, at) => follower.unread(&id.to_string(), at),
                Step::Read(at, all) => {
                    follower.read_begin(at);
                    for (id, entry, boot, leaves) in all {
                        follower.read_entry(&id.to_string(), entry.min(at), Some(Said { boot, leaves }));
                    }
                    follower.read_end();
                }
                Step::Restart => follower = Follower::new(follower.kept().clone()),
            }
            prop_assert!(follower.kept().revision >= revision);
            revision = follower.kept().revision;
            for (id, boot) in &retired {
                prop_assert!(follower.kept().retired.get(id).is_some_and(|now| now >= boot));
            }
            retired = follower.kept().retired.clone();
            for (id, said) in follower.list() {
                prop_assert!(retired.get(id).is_none_or(|retired| said.boot > *retired), "{} came back", id);
            }
        }
    }
}
