//! Even shares by number of slices, with the fewest changes of assignment.

use crate::Incarnation;

/// A change of one slice's assignment. `from` is `None` if the slice is assigned to no member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    pub slice: usize,
    pub from: Option<Incarnation>,
    pub to: Incarnation,
}

/// Returns the moves after which the members' shares differ by at most one slice: first the unassigned slices, then the
/// others, each in ascending order. `assignments` has the steward of each slice, `members` has each member once.
///
/// The number of moves is minimal: the members with the most slices keep the larger shares, and no member loses more
/// than its excess. The result depends on the arguments alone, so stewards with the same information agree without
/// communication.
pub fn moves(assignments: &[Option<Incarnation>], members: &[Incarnation]) -> Vec<Move> {
    if members.is_empty() {
        return Vec::new();
    }
    let mut members = members.to_vec();
    members.sort_unstable();
    let position = |steward: Incarnation| members.binary_search(&steward).ok();
    let mut held = vec![0usize; members.len()];
    assignments.iter().flatten().filter_map(|&steward| position(steward)).for_each(|at| held[at] += 1);
    let (base, larger) = (assignments.len() / members.len(), assignments.len() % members.len());
    // The members with the most slices get the larger shares; ties go to the lower incarnation.
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by_key(|&at| (std::cmp::Reverse(held[at]), at));
    let mut deficit = vec![0isize; members.len()];
    for (rank, &at) in order.iter().enumerate() {
        deficit[at] = (base + usize::from(rank < larger)) as isize - held[at] as isize;
    }
    let mut unassigned = Vec::new();
    let mut excess = Vec::new();
    for (slice, &steward) in assignments.iter().enumerate() {
        match steward.and_then(position) {
            None => unassigned.push((slice, None)),
            Some(at) if deficit[at] < 0 => {
                deficit[at] += 1;
                excess.push((slice, steward));
            }
            Some(_) => {}
        }
    }
    let mut receivers = deficit
        .iter()
        .enumerate()
        .flat_map(|(at, &deficit)| std::iter::repeat_n(at, deficit.max(0) as usize));
    let all = unassigned.into_iter().chain(excess);
    all.filter_map(|(slice, from)| receivers.next().map(|at| Move { slice, from, to: members[at] })).collect()
}
