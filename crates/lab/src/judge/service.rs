//! Service: the credit answered within the response target over the credit asked for, retries with their first try.

use std::collections::BTreeMap;

use ravenspar_standin::{status, Event, Time, SECOND};

use super::Rules;

#[derive(Clone, Debug, Default)]
pub struct Service {
    pub reqs: usize,
    pub whole: f64,
    pub worst_window: f64,
    /// By request kind: name and share.
    pub kinds: Vec<(String, f64)>,
}

pub fn count(events: &[Event], rules: &Rules, began: Time) -> Service {
    const WINDOW: Time = 10 * SECOND;
    let mut asked: BTreeMap<u64, (Time, usize, bool)> = BTreeMap::new();
    for event in events {
        match *event {
            Event::Asked { at, req, kind } if kind < rules.kinds.len() => {
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
    // Windows that begin at each second; a day shorter than one has just itself.
    let starts =
        (0..).map(|n| began + n * SECOND).take_while(|start| *start == began || start + WINDOW <= last);
    let worst = starts.map(|start| share(&|at, _| at >= start && at < start + WINDOW)).fold(1.0, f64::min);
    let kinds = rules.kinds.iter().enumerate();
    Service {
        reqs: asked.len(),
        whole: share(&|_, _| true),
        worst_window: worst,
        kinds: kinds.map(|(k, kind)| (kind.name.clone(), share(&|_, of| of == k))).collect(),
    }
}
