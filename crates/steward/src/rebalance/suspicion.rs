//! Suspicion: servers at which nothing succeeds any more, or at which many reqs fail.

use super::state::TryReport;
use super::Steward;
use crate::{Health, Time, SECOND};

/// As long as discovery usually needs to notice an unresponsive machine.
const SUSPICION_DURATION: Time = 15 * SECOND;

/// Number of tries from which on their failure is unlikely to be chance.
const MIN_TRIES: f64 = 8.0;

/// Minimum share of failed tries at a server that is gone (by the newest reports alone), dead, or degraded.
const GONE_FAILURE_SHARE: f64 = 0.8;
const DEAD_FAILURE_SHARE: f64 = 0.9;
const DEGRADED_FAILURE_SHARE: f64 = 0.25;

/// Number of newest reports that decide about a server which no list names.
const NEWEST_REPORTS: usize = 3;

impl Steward {
    /// Updates which servers are gone, suspected or degraded according to the reports, whatever the list shows.
    pub(super) fn update_suspicion(&mut self, now: Time) {
        let window = self.report_window();
        // A server accepts a limited number of connections, and proxies keep one open for a while after a successful req.
        // Where such reqs came from more proxies, further ones are refused whatever the server's load. A steward only
        // has reports of its own slices, and assumes the same number for each of the other stewards.
        let proxies = self.proxies.len().max(1) as f64;
        let max_connections = self.cfg.number("family_info.conns_least").unwrap_or(f64::INFINITY);
        let stewards = self.cfg.number("balancers").unwrap_or(1.0).max(1.0);
        let is_at_connection_limit = |kept_connections: f64| {
            proxies * (1.0 - (-kept_connections * stewards / proxies).exp()) >= max_connections
        };
        for server in &mut self.servers {
            let recent: Vec<&TryReport> = server.try_reports.iter().filter(|t| now - t.at < window).collect();
            let count = |reports: &[&TryReport]| reports.iter().map(|t| t.count).sum::<f64>();
            let failing = |reports: &[&TryReport], min_share| {
                reports.iter().map(|t| t.failed - min_share * t.count).sum::<f64>() >= 0.0
            };
            // A list may drop live servers, or be only a stored one: a server that works by the reports stays. It is
            // gone if it mostly fails in the newest reports, or has no reports for long.
            // Drawback: a real failure is acted on only once reports agree, a second or two later.
            let newest = &recent[recent.len().saturating_sub(NEWEST_REPORTS)..];
            let silent = recent.is_empty() && now - server.last_recorded_at >= 2 * window;
            if server.presumed_ready && (silent || !recent.is_empty() && failing(newest, GONE_FAILURE_SHARE))
            {
                server.health = Health::Gone;
            }
            // An overloaded server is not dead: it fails everything too, but was busy or late just before. Its level
            // falls first; moving its slices would only overload the next one. Nor is one at its connection limit:
            // open connections are still served, and moved slices would exhaust the limit of the next one.
            let is_full = server.recently_strained(now)
                || is_at_connection_limit(server.kept_connections) && !failing(&recent, 1.0);
            let is_conclusive = recent.len() >= 2 && count(&recent) >= MIN_TRIES && !is_full;
            server.degraded = is_conclusive && failing(&recent, DEGRADED_FAILURE_SHARE);
            // With more proxies than a server accepts, other stewards' slices may exhaust its connections unnoticed:
            // then it is dead only if nothing at all succeeds.
            let dead_failure_share = if proxies > max_connections { 1.0 } else { DEAD_FAILURE_SHARE };
            if is_conclusive && failing(&recent, dead_failure_share) {
                server.suspect_until = now + SUSPICION_DURATION;
            }
        }
    }

    /// Returns true if a server is not suspected.
    pub(super) fn is_trusted(&self, server: usize, now: Time) -> bool {
        now >= self.servers[server].suspect_until
    }
}
