//! Tests of merging, folding and ranking.

use std::collections::BTreeMap;

use proptest::prelude::*;
use ravenspar_debt::{Fact, Facts, Ledger, Shares};

fn shares() -> Shares {
    Shares { groups: BTreeMap::new(), users: BTreeMap::new(), other: 1, half_life: 10 }
}

fn fact(user: u8, used: u64, last: bool) -> Fact {
    Fact { user: format!("u{user}"), group: format!("g{}", user % 2), used, last }
}

/// The lease of a job; two jobs share a token.
fn lease(number: u64) -> (u64, String) {
    (number / 2, format!("job-{number}"))
}

fn any_facts() -> impl Strategy<Value = Vec<(u64, Fact)>> {
    // Each lease has one user.
    prop::collection::vec((0..12u64, 0..1_000u64, any::<bool>()), 0..40).prop_map(|all| {
        all.into_iter().map(|(key, used, last)| (key, fact(key as u8 % 4, used, last))).collect()
    })
}

fn merged_facts(facts: &[(u64, Fact)]) -> Facts {
    let mut all = Facts::new(100);
    facts.iter().for_each(|(key, fact)| _ = all.take(lease(*key), fact.clone()));
    all
}

proptest! {
    #[test]
    fn merging_commutes_associates_and_is_idempotent(a in any_facts(), b in any_facts(), c in any_facts()) {
        let merged = |facts: &[&Facts]| {
            let mut all = Facts::new(100);
            facts.iter().for_each(|one| all.merge(one));
            all
        };
        let (a, b, c) = (merged_facts(&a), merged_facts(&b), merged_facts(&c));
        let all = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &b, &a]), &all);
        prop_assert_eq!(&merged(&[&a, &merged(&[&b, &c])]), &all);
        prop_assert_eq!(&merged(&[&all, &all, &b]), &all);
        prop_assert_eq!(all.digest(), merged(&[&b, &a, &c]).digest());
    }

    #[test]
    fn the_same_leases_give_the_same_ranking_in_any_order(mut leases in prop::collection::vec((0..6u8, 0..100_000u64), 1..40), seed in any::<u64>()) {
        let ranked = |leases: &[(u8, u64)]| {
            let mut ledger = Ledger::new(shares());
            leases.iter().for_each(|(user, used)| ledger.add(&format!("u{user}"), "g", *used)) ;
            (ledger.digest(), ledger.rank())
        };
        let before = ranked(&leases);
        fastrand::Rng::with_seed(seed).shuffle(&mut leases);
        prop_assert_eq!(ranked(&leases), before);
    }

    /// No use overflows the arithmetic, and more use never lowers the debt.
    #[test]
    fn more_use_is_no_less_debt(used in any::<u64>(), more in any::<u64>(), other in 1..u64::MAX) {
        let debt = |used: u64| {
            let mut ledger = Ledger::new(shares());
            ledger.add("a", "g", used);
            ledger.add("b", "g", other);
            ledger.rank().into_iter().find(|owed| owed.user == "a").map(|owed| owed.debt)
        };
        prop_assert!(debt(used.min(more)) <= debt(used.max(more)));
    }
}

#[test]
fn a_fact_counts_once_and_facts_of_a_folded_lease_are_ignored() {
    let mut facts = Facts::new(10);
    assert_eq!(facts.take(lease(7), fact(1, 50, false)), Some(true));
    assert_eq!(facts.take(lease(7), fact(1, 40, false)), Some(false), "an older fact");
    assert_eq!(facts.take(lease(7), fact(1, 60, true)), Some(true));
    assert_eq!(facts.ended().count(), 1);
    assert_eq!(facts.mark_folded(&lease(7)), Some(fact(1, 60, true)));
    assert_eq!(facts.take(lease(7), fact(1, 60, true)), Some(false));
    assert_eq!((facts.len(), facts.is_folded(&lease(7))), (0, true));
}

#[test]
fn facts_past_the_bound_are_dropped_and_counted() {
    let mut facts = Facts::new(2);
    (0..3).for_each(|key| _ = facts.take(lease(key), fact(1, 1, false)));
    assert_eq!((facts.len(), facts.dropped), (2, 1));
}

#[test]
fn use_loses_half_its_weight_in_a_half_life() {
    let mut ledger = Ledger::new(shares());
    ledger.add("old", "g", 1_000_000);
    for _ in 0..10 {
        ledger.epoch += 1;
    }
    ledger.add("new", "g", 500_000);
    let owed = ledger.rank();
    let (a, b) = (owed[0].debt as f64, owed[1].debt as f64);
    assert!((a / b - 1.0).abs() < 1e-6, "{owed:?}");
    // A user that returns after months owes nothing, however much it used.
    ledger.epoch += 2_000;
    assert_eq!((ledger.debt_of("old"), ledger.debt_of("never seen")), (0, 0));
}

#[test]
fn each_level_is_normalised_by_itself() {
    // Two lenders used the same; one of them has a branch that used nearly all of its part.
    let ranked = |shares: Shares| {
        let mut ledger = Ledger::new(shares);
        [("a1", "a", 900), ("a2", "a", 100), ("b1", "b", 500), ("b2", "b", 500)]
            .into_iter()
            .for_each(|(user, group, used)| ledger.add(user, group, used));
        ledger.rank().into_iter().map(|owed| owed.user).collect::<Vec<_>>()
    };
    assert_eq!(ranked(shares()), ["a2", "b1", "b2", "a1"]);
    // With three times the share, a's branches come first.
    let more = Shares { groups: BTreeMap::from([("a".to_owned(), 3)]), ..shares() };
    assert_eq!(ranked(more), ["a2", "a1", "b1", "b2"]);
    // A user with weight 0 ranks last.
    let none = Shares { users: BTreeMap::from([("a2".to_owned(), 0)]), ..shares() };
    assert_eq!(ranked(none).last().map(String::as_str), Some("a2"));
}

/// With default shares, nobody owes anything before using something.
#[test]
fn default_shares_treat_users_alike() {
    let mut ledger = Ledger::new(Shares::default());
    assert_eq!((ledger.debt_of("a"), ledger.debt_of("b")), (0, 0));
    ledger.add("a", "", 10);
    assert!(ledger.debt_of("a") > 0 && ledger.debt_of("b") == 0);
}

#[test]
fn a_user_that_used_its_share_owes_one_unit() {
    let mut ledger = Ledger::new(shares());
    (0..4).for_each(|user| ledger.add(&format!("u{user}"), "g", 12_345));
    for owed in ledger.rank() {
        assert!((owed.debt as i64 - (1i64 << 32)).abs() < 16, "{owed:?}");
    }
}
