//! Structured logs on standard error.

use tracing_subscriber::EnvFilter;

/// `level` is a level or a filter as tracing writes them. Fails with what was expected.
pub fn start(format: &str, level: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(level)
        .map_err(|e| format!("--log {level}: {e}, expected a level such as info"))?;
    let logs =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false);
    let started = match format {
        "json" => logs.json().flatten_event(true).try_init(),
        _ => logs.with_ansi(false).try_init(),
    };
    started.map_err(|e| e.to_string())
}
