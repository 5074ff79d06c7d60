//! The settings that the host uses, under the keys that the steward uses too.

use ravenspar_steward::{Settings, Time, SECOND};

/// Sizes, intervals and rates from the settings.
#[derive(Clone, Debug)]
pub struct Limits {
    pub slices: usize,
    pub proxies: usize,
    /// Request kinds by name, and whether each writes.
    pub kinds: Vec<(String, bool)>,
    pub lease: Time,
    pub settle: Time,
    pub hold: Time,
    /// A stream that sends nothing, accepts nothing or leaves an answer due for this long is closed.
    pub stream_timeout: Time,
    /// Minimum interval between two updates.
    pub tick: Time,
    /// Lines per second that the channel sends.
    pub lines_per_second: f64,
    /// Overhead of each message, in lines.
    pub message_overhead: u64,
    /// Number of waiting lines from which decisions are postponed.
    pub max_waiting: u64,
    /// Maximum number of messages to one proxy within the window; 0 means no limit.
    pub messages_per_window: usize,
    pub window: Time,
    /// Interval between two reports of a proxy, and between passing totals on.
    pub cycle: Time,
    /// Report lines per second passed on to the steward.
    pub reports_per_second: f64,
}

impl Limits {
    /// Returns the name of the setting as the error if one is missing or invalid.
    pub fn new(cfg: &Settings) -> Result<Limits, &'static str> {
        let number = |name: &'static str| cfg.number(name).filter(|&n| n >= 0.0).ok_or(name);
        let time = |name: &'static str| cfg.time(name).filter(|&t| t > 0).ok_or(name);
        let flags = cfg.text("family_info.mutating").unwrap_or("");
        let mut writes = flags.split(',').map(|flag| flag == "true");
        let count = cfg.number("classes.count").unwrap_or(0.0).clamp(0.0, 32.0) as usize;
        let kind = |k| cfg.text(&format!("classes.{k}.name")).unwrap_or("").to_owned();
        Ok(Limits {
            slices: number("family_info.ranges")? as usize,
            proxies: number("family_info.proxy_count")? as usize,
            kinds: (0..count).map(|k| (kind(k), writes.next().unwrap_or(false))).collect(),
            lease: time("family_info.write_lease_s")?,
            settle: time("family_info.settle_s")?,
            hold: time("family_info.hold_s")?,
            stream_timeout: time("host.silent_s")?,
            tick: time("tick_s")?,
            lines_per_second: number("family_info.channel_rate")?.max(1.0),
            message_overhead: number("family_info.fixed_cost")? as u64,
            max_waiting: number("family_info.pending_max")? as u64,
            messages_per_window: number("family_info.pushes_allowed")? as usize,
            window: cfg.time("family_info.update_window_s").unwrap_or(10 * SECOND),
            cycle: time("family_info.cycle_s")?,
            reports_per_second: number("family_info.intake_per_s")?,
        })
    }
}
