//! Service: the credit of the reqs answered within their response target, divided by the credit of all reqs. Retries
//! count with their first try.

use std::collections::BTreeMap;

use ravenspar_standin::{status, Event, Time, SECOND};

use super::Rules;

/// Shares of the credit asked for that was earned.
#[derive(Clone, Debug, Default)]
pub struct Service {
    pub reqs: usize,
    /// Over all reqs.
    pub total_share: f64,
    /// Of the worst 10 s.
    pub worst_window_share: f64,
    /// Name and share of each request kind.
    pub kinds: Vec<(String, f64)>,
}

/// Computes service; windows begin at `began`.
pub fn count(events: &[Event], rules: &Rules, began: Time) -> Service {
    const WINDOW: Time = 10 * SECOND;
    let mut asked: BTreeMap<u64, (Time, usize, bool)> = BTreeMap::new();
    for event in events {
        match *event {
            Event::Requested { at, req, kind } if kind < rules.kinds.len() => {
                asked.insert(req, (at, kind, false));
            }
            Event::Answered { req, kind, status, took, .. } => {
                if let Some(entry) = asked.get_mut(&req) {
                    entry.2 = status == status::DONE && took <= rules.kinds[kind].response_target;
                }
            }
            _ => {}
        }
    }
    let share = |fit: &dyn Fn(Time, usize) -> bool| {
        let (mut earned, mut all) = (0.0, 0.0);
        for &(at, kind, good) in asked.values().filter(|&&(at, kind, _)| fit(at, kind)) {
            let _ = at;
            all += rules.kinds[kind].credit;
            earned += if good { rules.kinds[kind].credit } else { 0.0 };
        }
        if all > 0.0 {
            earned / all
        } else {
            1.0
        }
    };
    let last = asked.values().map(|&(at, ..)| at).max().unwrap_or(began);
    // A window begins at each second; a day shorter than a window is one window.
    let starts =
        (0..).map(|n| began + n * SECOND).take_while(|start| *start == began || start + WINDOW <= last);
    let worst = starts.map(|start| share(&|at, _| at >= start && at < start + WINDOW)).fold(1.0, f64::min);
    let kinds = rules.kinds.iter().enumerate();
    Service {
        reqs: asked.len(),
        total_share: share(&|_, _| true),
        worst_window_share: worst,
        kinds: kinds.map(|(k, kind)| (kind.name.clone(), share(&|_, asked_kind| asked_kind == k))).collect(),
    }
}
