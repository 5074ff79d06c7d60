//! Rule 4: no server that is known to have just started is sent so much load that it fails.

use ravenspar_standin::Event;

use super::Violation;

pub fn judge(events: &[Event], violations: &mut Vec<Violation>) {
    for event in events {
        let Event::Overloaded { at, server, boot } = event else { continue };
        // A steward can't protect a server whose start was not listed yet.
        let known = events.iter().take_while(|event| event.at() <= *at).any(|event| {
            matches!(event, Event::Listed { servers, .. }
                if servers.iter().any(|(id, _, listed)| id == server && listed == boot))
        });
        if known {
            violations.push(Violation {
                rule: 3,
                at: *at,
                what: format!("{server} was overloaded while it was cold"),
            });
        }
    }
}
