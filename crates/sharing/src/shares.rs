//! Even shares by count, with the fewest moves of charge.

use crate::Life;

/// One slice's charge that has to change hands: from nobody where it has none, or where its steward is no member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    pub slice: usize,
    pub from: Option<Life>,
    pub to: Life,
}

/// The moves that leave every member with an even share of the slices, give or take one; those that nobody is in charge
/// of come first, then the others, each in order of slices. `charge`: a steward for each slice; `members`: who is
/// there, each once.
///
/// No other set of moves to even shares is smaller: those who hold most keep the larger shares, and nobody gives away
/// more than what is past its share. The same charges and members give the same moves, so that stewards which see the
/// same agree without a word.
pub fn moves(charge: &[Option<Life>], members: &[Life]) -> Vec<Move> {
    if members.is_empty() {
        return Vec::new();
    }
    let mut members = members.to_vec();
    members.sort_unstable();
    let place = |steward: Life| members.binary_search(&steward).ok();
    let mut held = vec![0usize; members.len()];
    charge.iter().flatten().filter_map(|&steward| place(steward)).for_each(|at| held[at] += 1);
    let (base, larger) = (charge.len() / members.len(), charge.len() % members.len());
    // Whoever holds most keeps a larger share; among equals the first.
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by_key(|&at| (std::cmp::Reverse(held[at]), at));
    let mut room = vec![0isize; members.len()];
    for (rank, &at) in order.iter().enumerate() {
        room[at] = (base + usize::from(rank < larger)) as isize - held[at] as isize;
    }
    let mut orphans = Vec::new();
    let mut leaving = Vec::new();
    for (slice, &steward) in charge.iter().enumerate() {
        match steward.and_then(place) {
            None => orphans.push((slice, None)),
            Some(at) if room[at] < 0 => {
                room[at] += 1;
                leaving.push((slice, steward));
            }
            Some(_) => {}
        }
    }
    let mut takers =
        room.iter().enumerate().flat_map(|(at, &room)| std::iter::repeat_n(at, room.max(0) as usize));
    let all = orphans.into_iter().chain(leaving);
    all.filter_map(|(slice, from)| takers.next().map(|at| Move { slice, from, to: members[at] })).collect()
}
