//! Points at which a steward stops, so that tests can meet it at its worst moments.

use std::str::FromStr;

/// What was just done, or is about to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// Lines are durable, and no byte of them has left.
    Recorded,
    /// A message to a proxy is about to be handed to its socket.
    Message,
    /// Slices are about to be taken over, by what the store said just now.
    Take,
    /// A renewal of the membership is on its way, and counted from here.
    Renew,
    /// A duty's claim is about to be asked for, and has been carried out.
    Claim,
    Claimed,
    /// What is done by a duty is about to leave, its warrant looked at, and has been carried out.
    Effect,
    Effected,
}

/// The nth time at a point: the process dies as by a kill, or stands still until it is continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Halt {
    point: Point,
    left: u64,
    dies: bool,
}

impl FromStr for Halt {
    type Err = String;

    fn from_str(text: &str) -> Result<Halt, String> {
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
        let left = number.parse().ok().filter(|&number| number > 0).ok_or_else(expected)?;
        Ok(Halt { point, left, dies: true })
    }
}

impl Halt {
    pub fn that_stands_still(self) -> Halt {
        Halt { dies: false, ..self }
    }

    /// A point is met.
    pub fn meet(halt: &mut Option<Halt>, point: Point) {
        let Some(met) = halt.as_mut().filter(|halt| halt.point == point) else { return };
        met.left -= 1;
        if met.left > 0 {
            return;
        }
        let dies = met.dies;
        *halt = None;
        if dies {
            std::process::abort();
        }
        let own = std::process::id().to_string();
        let _ = std::process::Command::new("kill").args(["-STOP", &own]).status();
    }
}
