//! Points at which a steward aborts or pauses, so that tests can interrupt it in the most critical moments.

use std::str::FromStr;

/// A place in the code that a failpoint can be set on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// Lines are durable, and none of their bytes has been sent yet.
    Recorded,
    /// A message to a proxy is about to be handed to its socket.
    Message,
    /// Slices are about to be taken over, based on the last snapshot of the store.
    Take,
    /// A renewal of the membership has been sent; the lease counts from here.
    Renew,
    /// A claim of a duty is about to be sent.
    Claim,
    /// A claim of a duty has been carried out.
    Claimed,
    /// An effect of a duty is about to be sent, and its permit has been checked.
    Effect,
    /// An effect of a duty has been carried out.
    Effected,
}

/// Aborts or stops the process the nth time that a point is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failpoint {
    point: Point,
    /// How often the point is still to be reached.
    remaining: u64,
    /// Abort as if killed, instead of stopping until SIGCONT.
    aborts: bool,
}

impl FromStr for Failpoint {
    type Err = String;

    fn from_str(text: &str) -> Result<Failpoint, String> {
        let expected = || {
            format!("{text}: expected recorded:N, message:N, take:N, renew:N, claim:N, claimed:N, effect:N or effected:N")
        };
        let (point, number) = text.split_once(':').ok_or_else(expected)?;
        let point = match point {
            "recorded" => Point::Recorded,
            "message" => Point::Message,
            "take" => Point::Take,
            "renew" => Point::Renew,
            "claim" => Point::Claim,
            "claimed" => Point::Claimed,
            "effect" => Point::Effect,
            "effected" => Point::Effected,
            _ => return Err(expected()),
        };
        let remaining = number.parse().ok().filter(|&number| number > 0).ok_or_else(expected)?;
        Ok(Failpoint { point, remaining, aborts: true })
    }
}

impl Failpoint {
    /// The same failpoint, but it stops the process instead of aborting it.
    pub fn pausing(self) -> Failpoint {
        Failpoint { aborts: false, ..self }
    }

    /// Counts that `point` was reached, and acts if `failpoint` is due. A failpoint acts once.
    pub fn hit(failpoint: &mut Option<Failpoint>, point: Point) {
        let Some(matching) = failpoint.as_mut().filter(|failpoint| failpoint.point == point) else { return };
        matching.remaining -= 1;
        if matching.remaining > 0 {
            return;
        }
        let aborts = matching.aborts;
        *failpoint = None;
        if aborts {
            std::process::abort();
        }
        let pid = std::process::id().to_string();
        let _ = std::process::Command::new("kill").args(["-STOP", &pid]).status();
    }
}
