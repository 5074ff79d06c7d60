//! Handling of the collectors' reports. An invalid report is dropped and affects no other.

use ravenspar_steward::Time;
use serde_json::Value;

use super::Session;
use crate::fields::{self, DecodeError};

impl Session {
    /// Applies a collector's report. An invalid one is counted and dropped.
    pub fn handle_report(&mut self, now: Time, report: &Value) -> Result<(), DecodeError> {
        let result = self.report(now, report);
        self.metrics.invalid_messages += u64::from(result.is_err());
        result
    }

    fn report(&mut self, now: Time, report: &Value) -> Result<(), DecodeError> {
        match fields::text(report, "msg")? {
            "LOAD" => {
                let site = fields::text(report, "site")?;
                if !self.names.zones.iter().any(|zone| zone == site) {
                    return fields::invalid("site", "a zone of the settings");
                }
                let target = self.servers.find(fields::text(report, "target")?);
                let server =
                    target.ok_or(DecodeError { field: "target", expected: "a host that is known" })?;
                let (count, failed) = (fields::number(report, "count")?, fields::number(report, "fail")?);
                if failed > count {
                    return fields::invalid("fail", "no more than count");
                }
                let took = fields::duration(report, "mean")?;
                fields::duration(report, "over")?;
                self.steward.traffic_reported(now, server, count, failed, took, busy(&report["util"])?);
            }
            "SHARD" => {
                let slice = fields::integer(report, "range", self.slices.len())?;
                let lane = fields::text(report, "lane")?;
                let kind = self.names.classes.iter().position(|name| name == lane);
                let kind = kind.ok_or(DecodeError { field: "lane", expected: "a request kind" })?;
                // Failures are checked for their type only: they may have come before this report's period.
                fields::number(report, "fail")?;
                let (count, over) = (fields::number(report, "count")?, fields::duration(report, "over")?);
                self.steward.demand_reported(now, slice, kind, count, over);
            }
            // The total of a proxy's reqs where there are no slices; the decisions don't use it.
            "RATE" => {}
            _ => return fields::invalid("msg", "LOAD or SHARD"),
        }
        Ok(())
    }
}

/// Returns the CPU share of a host from its load report, whose fields are named by the settings.
fn busy(load: &Value) -> Result<Option<f64>, DecodeError> {
    // A fraction; noise may push it above 1, but not this far.
    const MAX_CPU_SHARE: f64 = 2.0;
    match load {
        Value::Null => Ok(None),
        Value::Object(load) => match load.get("cpu_share").map(Value::as_f64) {
            None => Ok(None),
            Some(Some(share)) if (0.0..MAX_CPU_SHARE).contains(&share) => Ok(Some(share)),
            _ => fields::invalid("util", "cpu_share as a fraction"),
        },
        _ => fields::invalid("util", "an object"),
    }
}
