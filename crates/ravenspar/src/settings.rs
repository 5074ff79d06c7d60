//! The steward's settings: a YAML file, checked against a table that also maps them to the names and values that the
//! steward's decisions and the host read.

mod check;
mod sections;
mod table;

use std::path::{Path, PathBuf};

use ravenspar_steward::Settings;

use crate::yaml::{self, ParseErrors};

use check::Checker;
use sections::{debts, fleet, jobs, list_store, share};
pub use table::{SettingSpec, ValueType, KIND_SETTINGS, SETTINGS};

/// Settings that passed every checker.
#[derive(Clone, Debug)]
pub struct ValidatedSettings {
    pub listen: String,
    pub record: PathBuf,
    pub list: PathBuf,
    /// The list in a store; `None` if the list is a file.
    pub list_store: Option<ListStore>,
    pub seed: u64,
    /// The store of a shared record; `None` if the record is this steward's own file.
    pub share: Option<Share>,
    /// The view that the stewards maintain among themselves, if it is configured.
    pub fleet: Option<Fleet>,
    /// The jobs duty, if it is configured.
    pub jobs: Option<Jobs>,
    /// The debts duty, if it is configured.
    pub debts: Option<Debts>,
    /// The settings that the steward's decisions and the host read.
    pub map: Settings,
}

/// The settings of jobs, which sites hold with leases.
#[derive(Clone, Debug)]
pub struct Jobs {
    /// The address that agents of sites connect to.
    pub listen: std::net::SocketAddr,
    /// The lease of a site's incarnation in the store, in whole seconds.
    pub lease: u32,
    /// Limit on the sites whose agents may be connected.
    pub sites: usize,
    pub limits: ravenspar_jobs::Limits,
}

/// The settings of the view of the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub name: String,
    pub listen: std::net::SocketAddr,
    /// The address that other stewards use; `None` if it is `listen`.
    pub address: Option<std::net::SocketAddr>,
    pub peers: Vec<std::net::SocketAddr>,
    pub key: PathBuf,
    pub round: ravenspar_steward::Time,
    pub forget: ravenspar_steward::Time,
    /// Not in the file: the parts of the view that a test disables.
    pub toggles: ravenspar_view::FeatureToggles,
}

/// The settings of debts.
#[derive(Clone, Debug)]
pub struct Debts {
    pub epoch: ravenspar_steward::Time,
    pub shares: ravenspar_debt::Shares,
}

/// The settings of a server list in a store.
#[derive(Clone, Debug)]
pub struct ListStore {
    pub endpoints: Vec<String>,
    pub prefix: String,
    pub call_within: std::time::Duration,
}

/// The settings of the shared store and of the membership in it.
#[derive(Clone, Debug)]
pub struct Share {
    pub name: String,
    pub endpoints: Vec<String>,
    pub prefix: String,
    /// In whole seconds, the unit of the store's leases.
    pub member_lease: u32,
    pub call_within: std::time::Duration,
}

/// Reads and checks a file. Relative paths in it start from its folder.
pub fn load(path: &Path) -> Result<ValidatedSettings, ParseErrors> {
    let tree = yaml::read(path)?;
    let mut checker = Checker { errors: Vec::new(), map: Settings::default(), program_values: Vec::new() };
    checker.map(&tree, "", SETTINGS, "", &["kinds"]);
    checker.kinds(&tree);
    let mut section_errors = Vec::new();
    let value_of = |name: &str| {
        checker.program_values.iter().find(|(path, _)| path == name).map(|(_, value)| value.as_str())
    };
    let folder = path.parent().unwrap_or(Path::new("."));
    let listen = value_of("listen").unwrap_or_default().to_owned();
    if !listen.is_empty() && listen.parse::<std::net::SocketAddr>().is_err() {
        checker.errors.push((
            tree.line,
            tree.column,
            format!("listen: {listen}: expected an address and a port"),
        ));
    }
    let share = share(&value_of, &mut section_errors, &tree);
    let fleet = fleet(&value_of, &mut section_errors, &tree, folder);
    let list_store = list_store(&value_of, &mut section_errors, &tree);
    let jobs = jobs(&value_of, &mut section_errors, &tree);
    let debts = debts(&value_of, &mut section_errors, &tree);
    let checked = ValidatedSettings {
        share,
        fleet,
        jobs,
        debts,
        list_store,
        listen,
        record: folder.join(value_of("record").unwrap_or_default()),
        list: folder.join(value_of("list.path").unwrap_or_default()),
        seed: value_of("seed").and_then(|seed| seed.parse().ok()).unwrap_or(1),
        map: checker.map,
    };
    checker.errors.append(&mut section_errors);
    if checker.errors.is_empty() {
        // Finally the host and the decisions check the map themselves: no setting may be missing when they start.
        if let Err(name) = ravenspar_host::Host::new(0, 1, checked.map.clone(), 1, &[], &[]) {
            checker.errors.push((
                tree.line,
                tree.column,
                format!("the setting {name} is missing or unusable"),
            ));
        }
    }
    match checker.errors.is_empty() {
        true => Ok(checked),
        false => {
            checker.errors.sort();
            Err(ParseErrors { path: path.to_owned(), errors: checker.errors })
        }
    }
}
