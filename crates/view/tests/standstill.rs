//! A paused member must not conclude from its own pause that others failed: an answer that arrived during the pause counts
//! as in time. See also the scenarios of `fleet/pauses.rs`.

#[allow(dead_code)]
#[path = "fleet/common.rs"]
mod common;

use common::{Fleet, SECOND};

const MEMBERS: usize = 5;
/// The member that is suspected.
const SUSPECTED: usize = 2;
/// The member that is paused, one of those that may drop the suspected one.
const PAUSED: usize = 0;

/// A member is cut off until it is suspected, and refutes in time. The refutation waits in the socket of another member,
/// which is paused from then on for longer than a refutation may take.
#[test]
fn a_refutation_that_waits_while_its_receiver_is_paused_is_in_time() {
    const PHASES: i64 = 40;
    for phase in 0..PHASES {
        let mut fleet = Fleet::new(phase as u64, MEMBERS);
        let round = fleet.round;
        fleet.start_all();
        let all = fleet.live();
        assert!(fleet.until_agreed(&all, 30 * SECOND).is_some(), "{}", fleet.describe());
        fleet.run(20 * SECOND);
        let incarnation = fleet.view(SUSPECTED).incarnation();
        fleet.split(&[SUSPECTED]);
        // Three rounds until it is suspected, and three more to refute.
        fleet.run(3 * round + 2 * round * phase / PHASES);
        fleet.heal();
        fleet.nodes[PAUSED].paused_until = fleet.now + round * 35 / 10;
        fleet.run(20 * SECOND);
        assert_eq!(fleet.view(SUSPECTED).incarnation(), incarnation, "phase {phase}\n{}", fleet.describe());
        assert!(fleet.agree(&all), "phase {phase}\n{}", fleet.describe());
    }
}
