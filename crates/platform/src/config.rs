//! The configuration file of a steward on the platform.

use std::net::SocketAddr;

use serde_json::Value;

/// Addresses that may change while the steward runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
}

/// The configuration of a steward on the platform.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub addresses: Addresses,
    pub seed: u64,
    /// The number of file descriptors that the process may open.
    pub sockets: usize,
    /// The last known list of hosts, in discovery's format.
    pub known: Value,
    /// The same settings as in the simulator's first message, but nested.
    pub settings: Value,
}

fn address(config: &Value, path: &str) -> Result<SocketAddr, String> {
    let text = config.pointer(&format!("/{}", path.replace('.', "/"))).and_then(Value::as_str);
    let text = text.ok_or_else(|| format!("{path}: expected an address such as 10.0.0.4:8443"))?;
    text.parse().map_err(|_| format!("{path}: {text:.80}: expected an address such as 10.0.0.4:8443"))
}

impl Addresses {
    fn read(config: &Value) -> Result<Addresses, String> {
        Ok(Addresses { discovery: address(config, "discovery")?, relay: address(config, "relay.address")? })
    }
}

impl Config {
    /// Parses the configuration. The error names the field and what was expected.
    pub fn read(bytes: &[u8]) -> Result<Config, String> {
        let mut config: Value =
            serde_json::from_slice(bytes).map_err(|e| format!("expected a JSON object: {e}"))?;
        if !config.is_object() {
            return Err("expected a JSON object".to_owned());
        }
        let seed = match &config["seed"] {
            Value::String(hex) => u64::from_str_radix(hex, 16).ok(),
            seed => seed.as_u64(),
        };
        if !config["settings"].is_object() {
            return Err("settings: expected an object".to_owned());
        }
        let sockets = match &config["limits"]["sockets"] {
            Value::Null => Some(1_024),
            sockets => sockets.as_u64().filter(|sockets| (32..=1 << 20).contains(sockets)),
        };
        Ok(Config {
            name: config["name"].as_str().ok_or("name: expected a text")?.to_owned(),
            listen: address(&config, "listen")?,
            addresses: Addresses::read(&config)?,
            seed: seed.ok_or("seed: expected up to 16 hex digits")?,
            sockets: sockets.ok_or("limits.sockets: expected a whole number from 32 on")? as usize,
            known: config["known"].take(),
            settings: config["settings"].take(),
        })
    }

    /// Returns the version of the last known list, if it has one.
    pub fn known_version(&self) -> Option<u64> {
        self.known["generation"].as_u64()
    }

    /// Parses only the addresses, from a file that was replaced while the steward runs.
    pub fn read_addresses(bytes: &[u8]) -> Result<Addresses, String> {
        let config: Value =
            serde_json::from_slice(bytes).map_err(|e| format!("expected a JSON object: {e}"))?;
        Addresses::read(&config)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn valid_config() -> Value {
        serde_json::json!({
            "name": "n3", "listen": "127.0.0.4:8443", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "relay": {"address": "127.0.0.2:6400"},
            "known": {"generation": 41, "reset": true, "instances": []}, "settings": {"family_info": {}},
        })
    }

    #[test]
    fn a_valid_file_is_parsed() {
        let config = Config::read(valid_config().to_string().as_bytes()).expect("a valid file");
        assert_eq!((config.seed, config.sockets), (0x8c1f_30d2_7a5b_e964, 256));
        assert_eq!(config.addresses.relay.port(), 6400);
        assert_eq!(config.known_version(), Some(41));
    }

    #[test]
    fn errors_name_the_missing_or_invalid_field() {
        for (path, value) in [
            ("/name", Value::Null),
            ("/listen", "here".into()),
            ("/discovery", 7.into()),
            ("/seed", "xyz".into()),
            ("/relay/address", "127.0.0.1".into()),
            ("/settings", Value::Null),
            ("/limits/sockets", (-1).into()),
        ] {
            let mut config = valid_config();
            *config.pointer_mut(path).expect("an existing field") = value;
            let error = Config::read(config.to_string().as_bytes()).expect_err(path);
            let name = path[1..].replace('/', ".");
            assert!(error.starts_with(&name) && error.contains("expected"), "{path}: {error}");
        }
        assert!(Config::read(b"{").is_err() && Config::read(b"[]").is_err() && Config::read(b"").is_err());
    }
}
