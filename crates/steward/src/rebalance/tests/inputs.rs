//! Inputs: settings, server lists, and servers that are forgotten.

use super::*;

#[test]
fn a_missing_setting_is_named() {
    assert_eq!(Steward::new(0, 1, Settings::default()).err(), Some("family_info.ranges"));
    let mut cfg = Settings::default();
    cfg.set("family_info.ranges", "4");
    assert_eq!(Steward::new(0, 1, cfg).err(), Some("family_info.write_lease_s"));
}

#[test]
fn a_steward_without_changes_writes_nothing() {
    assert_eq!(orders(&mut steward(4, 2, 2), 1), []);
}

#[test]
fn the_slices_of_a_draining_owner_are_revoked_at_once_under_a_mark() {
    let mut steward = steward(2, 2, 2);
    list(&mut steward, 0, Health::Draining, 0);
    let drops = [Order::DropLines { slice: 0 }, Order::DropLines { slice: 1 }, Order::Mark { number: 1 }];
    assert_eq!(orders(&mut steward, 1), drops);
    assert!(steward.slices.iter().all(handing_off));
}

#[test]
fn the_slices_of_a_restarted_owner_are_revoked() {
    let mut steward = steward(1, 2, 1);
    list(&mut steward, 0, Health::Ready, SECOND);
    assert_eq!(orders(&mut steward, 2 * SECOND)[0], Order::DropLines { slice: 0 });
}

#[test]
fn a_server_missing_from_a_complete_list_is_gone() {
    let mut steward = steward(1, 2, 1);
    steward.list_begin(ListScope::Complete);
    steward.list_entry(1, Health::Ready, 0);
    steward.list_end(ListScope::Complete);
    assert_eq!(orders(&mut steward, 1)[0], Order::DropLines { slice: 0 });
}

#[test]
fn a_server_named_only_by_a_record_keeps_its_slices_until_it_is_missing_from_a_list() {
    let mut steward = steward_with_list(ListScope::Stored, 1, 2, 1);
    steward.line_recorded(0, 0, 9, 1.0);
    steward.list_end(ListScope::Stored);
    assert_eq!(steward.slices_to_move(1).0, []);
    steward.list_end(ListScope::Changes);
    assert_eq!(steward.slices_to_move(1).0, [0]);
}

/// Guards against proxies that are left at a removed server: the list that lacks it may come before its record.
#[test]
fn a_server_missing_from_the_list_is_gone_when_a_record_names_it_later() {
    for scope in [ListScope::Complete, ListScope::Changes] {
        let mut steward = steward_with_list(scope, 1, 2, 1);
        steward.line_recorded(0, 0, 9, 1.0);
        assert_eq!(orders(&mut steward, 1)[0], Order::DropLines { slice: 0 }, "{scope:?}");
    }
}

/// The same for a server that the steward has forgotten since the list dropped it.
#[test]
fn a_forgotten_server_is_gone_when_a_record_names_it_later() {
    let mut steward = steward(2, 2, 1);
    steward.line_recorded(0, 0, 1, 1.0);
    steward.line_recorded(0, 1, 1, 1.0);
    list(&mut steward, 0, Health::Gone, 0);
    assert!(steward.forget(0));
    steward.line_recorded(SECOND, 1, 0, 1.0);
    assert_eq!(orders(&mut steward, SECOND)[0], Order::DropLines { slice: 1 });
}

#[test]
fn nothing_follows_from_a_servers_absence_in_a_partial_list() {
    for record_first in [false, true] {
        let mut steward = steward_with_list(ListScope::Stored, 1, 2, 1);
        let partial = |steward: &mut Steward| {
            steward.list_begin(ListScope::Partial);
            steward.list_entry(1, Health::Draining, 0);
            steward.list_end(ListScope::Partial);
        };
        if record_first {
            steward.line_recorded(0, 0, 9, 1.0);
            partial(&mut steward);
        } else {
            partial(&mut steward);
            steward.line_recorded(0, 0, 9, 1.0);
        }
        assert_eq!(steward.slices_to_move(1).0, [], "record first: {record_first}");
        assert_eq!((steward.servers[0].health, steward.servers[1].health), (Health::Ready, Health::Draining));
        steward.list_end(ListScope::Complete);
        assert_eq!(steward.slices_to_move(1).0, [0], "record first: {record_first}");
    }
}

#[test]
fn a_recorded_start_of_a_server_does_not_list_it() {
    let mut steward = steward(1, 2, 1);
    steward.server_started(9, SECOND);
    steward.line_recorded(SECOND, 0, 9, 1.0);
    assert_eq!(steward.slices_to_move(SECOND).0, [0], "gone, as the list lacks it");
    let mut steward = steward_with_list(ListScope::Stored, 1, 2, 1);
    steward.server_started(9, SECOND);
    steward.line_recorded(SECOND, 0, 9, 1.0);
    assert_eq!(steward.slices_to_move(SECOND).0, [], "no list yet says that it is gone");
}

#[test]
fn a_server_missing_from_the_list_keeps_recorded_slices_while_it_works_if_only_draining_binds() {
    let mut steward = steward(1, 2, 1);
    steward.cfg.set("safety.only_draining_binds", "true");
    steward.line_recorded(SECOND, 0, 9, 1.0);
    steward.servers[9].try_reports = try_reports(SECOND, 10.0, 1.0, SECOND / 10, None);
    steward.update_suspicion(SECOND);
    assert_eq!(steward.slices_to_move(SECOND).0, []);
    steward.servers[9].try_reports = try_reports(SECOND, 10.0, 9.0, SECOND / 10, None);
    steward.update_suspicion(SECOND);
    assert_eq!(steward.slices_to_move(SECOND).0, [0]);
}

#[test]
fn a_server_dropped_from_the_list_keeps_its_slices_while_it_works_if_only_draining_binds() {
    let mut steward = steward(1, 2, 1);
    steward.cfg.set("safety.only_draining_binds", "true");
    steward.servers[0].try_reports = try_reports(SECOND, 10.0, 1.0, SECOND / 10, None);
    list(&mut steward, 0, Health::Gone, 0);
    steward.update_suspicion(SECOND);
    assert_eq!(steward.slices_to_move(SECOND).0, []);
    steward.servers[0].try_reports = try_reports(SECOND, 10.0, 9.0, SECOND / 10, None);
    steward.update_suspicion(SECOND);
    assert_eq!(steward.slices_to_move(SECOND).0, [0]);
}

#[test]
fn a_failed_subscription_is_retried_soon() {
    let mut steward = steward(1, 1, 1);
    steward.cfg.set("discovery", "on_request");
    steward.list_failed(SECOND);
    assert_eq!(orders(&mut steward, SECOND), []);
    assert_eq!(orders(&mut steward, 2 * SECOND), [Order::SubscribeList]);
}

#[test]
fn a_server_is_forgotten_once_nothing_refers_to_it_and_its_index_is_reset() {
    let mut steward = steward(1, 2, 1);
    steward.servers[0].boot = SECOND;
    assert!(!steward.forget(0));
    list(&mut steward, 0, Health::Gone, 0);
    assert!(!steward.forget(0), "it still owns a slice");
    assert_eq!(orders(&mut steward, 1)[0], Order::DropLines { slice: 0 });
    assert!(steward.forget(0) && steward.forget(7));
    assert_eq!(
        (steward.servers[0].boot, steward.servers[0].seen, steward.servers[0].health),
        (0, false, Health::Gone)
    );
}
