//! What is not concluded from a silence of one's own making: an answer that came while a member stood still came in time.
//! Beside the days of `fleet/pauses.rs`.

#[allow(dead_code)]
#[path = "fleet/common.rs"]
mod common;

use common::{Fleet, SECOND};

const MEMBERS: usize = 5;
/// The one that is accused, and one of those that may drop it.
const ACCUSED: usize = 2;
const STILL: usize = 0;

/// It is cut off for as long as it takes to accuse it, and answers in time; the answer waits in the socket of a member that
/// stands still from then on, for longer than an answer may take.
#[test]
fn an_answer_that_waits_while_a_member_stands_still_is_in_time() {
    const PHASES: i64 = 40;
    for phase in 0..PHASES {
        let mut fleet = Fleet::new(phase as u64, MEMBERS);
        let round = fleet.round;
        fleet.start_all();
        let all = fleet.live();
        assert!(fleet.until_agreed(&all, 30 * SECOND).is_some(), "{}", fleet.told());
        fleet.run(20 * SECOND);
        let life = fleet.view(ACCUSED).incarnation();
        fleet.split(&[ACCUSED]);
        // Three rounds until it is accused, and three from then on to answer.
        fleet.run(3 * round + 2 * round * phase / PHASES);
        fleet.heal();
        fleet.nodes[STILL].stopped = fleet.now + round * 35 / 10;
        fleet.run(20 * SECOND);
        assert_eq!(fleet.view(ACCUSED).incarnation(), life, "phase {phase}\n{}", fleet.told());
        assert!(fleet.agree(&all), "phase {phase}\n{}", fleet.told());
    }
}
