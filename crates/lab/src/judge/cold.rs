//! Rule 4: no server that is known to have just started is brought so much that it falls over.

use ravenspar_standin::Event;

use super::Break;

pub fn judge(events: &[Event], breaks: &mut Vec<Break>) {
    for event in events {
        let Event::Fell { at, server, boot } = event else { continue };
        // Not by the steward's orders if it could not know of the start.
        let known = events.iter().take_while(|event| event.at() <= *at).any(|event| {
            matches!(event, Event::Listed { servers, .. }
                if servers.iter().any(|(id, _, listed)| id == server && listed == boot))
        });
        if known {
            breaks.push(Break {
                rule: 3,
                at: *at,
                what: format!("{server} was pushed over while it was cold"),
            });
        }
    }
}
