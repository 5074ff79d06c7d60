use super::*;

#[test]
fn a_missing_setting_is_named() {
    assert_eq!(Steward::new(0, 1, Settings::default()).err(), Some("family_info.ranges"));
}
