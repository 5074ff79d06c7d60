//! The durable record of one steward: slices with owner, weight and mark, the steward's term, and the last server list.
//!
//! One redb file. A batch is atomic, and durable when [`Record::write`] returns. Weights are stored in millionths, so that a
//! line reads back exactly as it was written.

mod error;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use redb::backends::InMemoryBackend;
use redb::{
    Database, DatabaseError, ReadOnlyDatabase, ReadOnlyTable, ReadableDatabase, ReadableTable,
    StorageBackend, TableDefinition, TableError,
};

pub use error::RecordError;

/// The version of the file's layout. A file of another layout is rejected and left untouched.
const LAYOUT: u64 = 1;

/// Layout, terms and revisions by name.
const META: TableDefinition<&str, u64> = TableDefinition::new("ravenspar");
/// Slice to owner (empty: none), weight in millionths, mark and term.
const SLICES: TableDefinition<u32, (&str, u64, u64, u64)> = TableDefinition::new("slices");
/// Server to health (0 ready, 1 draining, 2 gone), boot, zone and address.
const SERVERS: TableDefinition<&str, (u8, i64, &str, &str)> = TableDefinition::new("servers");

/// Servers of a list with revisions to the latest start of each that is retired: it and earlier ones may not come back.
const RETIRED: TableDefinition<&str, i64> = TableDefinition::new("retired");

/// Cluster, revision and retired starts of a server list with revisions.
pub type ListState = (u64, i64, BTreeMap<String, i64>);

/// The record of one slice.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceRow {
    pub slice: u32,
    /// The owner's id; `None` while the slice is being moved.
    pub owner: Option<String>,
    /// In millionths; below full weight the slice is open to reads only.
    pub weight: u64,
    pub mark: u64,
    pub term: u64,
    /// When the owner last started, as far as the granting steward knew. Not stored: it is in the last server list.
    pub boot: i64,
}

/// One server of the last server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRow {
    pub id: String,
    /// 0 ready, 1 draining, 2 gone.
    pub health: u8,
    /// When it last started, in units of 0.1 ms by the list's clock; 0: long ago.
    pub boot: i64,
    pub zone: String,
    pub address: String,
}

/// The term, slices and servers in a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contents {
    /// The latest term; each start of a steward on this file takes the next.
    pub term: u64,
    pub slices: Vec<SliceRow>,
    pub servers: Vec<ServerRow>,
}

/// An open record; the file is locked against other processes.
pub struct Record {
    db: Database,
    path: PathBuf,
}

impl Record {
    /// Opens the file, or creates it if it doesn't exist. A file that isn't a record of this layout is left untouched.
    pub fn open(path: &Path) -> Result<Record, RecordError> {
        if path.exists() {
            // Opening a file for writing already modifies it, so it is inspected first.
            inspect(path)?;
            let db = Database::open(path).map_err(|e| RecordError::open(path, e))?;
            return Ok(Record { db, path: path.to_owned() });
        }
        // Created under another name and renamed, so that a steward killed here leaves no incomplete record.
        let temporary = path.with_extension("draft");
        let _ = std::fs::remove_file(&temporary);
        let db = Database::create(&temporary).map_err(|e| RecordError::open(path, e))?;
        let write = db.begin_write().map_err(RecordError::write)?;
        {
            let mut meta = write.open_table(META).map_err(RecordError::write)?;
            meta.insert("layout", LAYOUT).map_err(RecordError::write)?;
            meta.insert("term", 0).map_err(RecordError::write)?;
            write.open_table(SLICES).map_err(RecordError::write)?;
            write.open_table(SERVERS).map_err(RecordError::write)?;
        }
        write.commit().map_err(RecordError::write)?;
        drop(db);
        std::fs::rename(&temporary, path).map_err(|e| RecordError::open(path, e.into()))?;
        sync_directory(path).map_err(|e| RecordError::open(path, e.into()))?;
        let db = Database::open(path).map_err(|e| RecordError::open(path, e))?;
        Ok(Record { db, path: path.to_owned() })
    }

    /// Opens the file again after a failed write, as redb accepts no more writes through the open database. All that was
    /// durable still is, and nothing of the failed write.
    pub fn reopen(&mut self) -> Result<(), RecordError> {
        // The open database holds the file's lock, so it is replaced first.
        self.db = Database::builder()
            .create_with_backend(InMemoryBackend::new())
            .map_err(|e| RecordError::open(&self.path, e))?;
        self.db = Database::open(&self.path).map_err(|e| RecordError::open(&self.path, e))?;
        Ok(())
    }

    /// Reads a file that no other process has open, without modifying it.
    pub fn read(path: &Path) -> Result<Contents, RecordError> {
        inspect(path)
    }

    /// Reads the term, slices and servers.
    pub fn contents(&self) -> Result<Contents, RecordError> {
        contents(&self.db)
    }

    /// Takes a new term, larger than any before on this file; durable on return.
    pub fn next_term(&self) -> Result<u64, RecordError> {
        let write = self.db.begin_write().map_err(RecordError::write)?;
        let term = {
            let mut meta = write.open_table(META).map_err(RecordError::write)?;
            let last = meta.get("term").map_err(RecordError::write)?.map_or(0, |term| term.value());
            meta.insert("term", last + 1).map_err(RecordError::write)?;
            last + 1
        };
        write.commit().map_err(RecordError::write)?;
        Ok(term)
    }

    /// The cluster and revision last seen of a shared store, if any.
    pub fn store_position(&self) -> Result<Option<(u64, u64)>, RecordError> {
        let read = self.db.begin_read().map_err(RecordError::read)?;
        let meta = read.open_table(META).map_err(RecordError::read)?;
        let value = |name| Ok(meta.get(name).map_err(RecordError::read)?.map(|value| value.value()));
        Ok(value("cluster")?.zip(value("revision")?))
    }

    /// Saves the cluster and revision last seen of a shared store, or removes them; durable on return.
    pub fn save_store_position(&self, seen: Option<(u64, u64)>) -> Result<(), RecordError> {
        let write = self.db.begin_write().map_err(RecordError::write)?;
        {
            let mut meta = write.open_table(META).map_err(RecordError::write)?;
            match seen {
                Some((cluster, revision)) => {
                    meta.insert("cluster", cluster).map_err(RecordError::write)?;
                    meta.insert("revision", revision).map_err(RecordError::write)?;
                }
                None => {
                    meta.remove("cluster").map_err(RecordError::write)?;
                    meta.remove("revision").map_err(RecordError::write)?;
                }
            }
        }
        write.commit().map_err(RecordError::write)
    }

    /// The saved state of a server list with revisions, or `None` if none was followed.
    pub fn list_state(&self) -> Result<Option<ListState>, RecordError> {
        let read = self.db.begin_read().map_err(RecordError::read)?;
        let meta = read.open_table(META).map_err(RecordError::read)?;
        let value = |name| Ok(meta.get(name).map_err(RecordError::read)?.map(|value| value.value()));
        let Some((cluster, revision)) = value("list.cluster")?.zip(value("list.revision")?) else {
            return Ok(None);
        };
        let mut retired = BTreeMap::new();
        match read.open_table(RETIRED) {
            Ok(table) => {
                for row in table.iter().map_err(RecordError::read)? {
                    let (id, boot) = row.map_err(RecordError::read)?;
                    retired.insert(id.value().to_owned(), boot.value());
                }
            }
            Err(TableError::TableDoesNotExist(_)) => {}
            Err(error) => return Err(RecordError::read(error)),
        }
        Ok(Some((cluster, revision as i64, retired)))
    }

    /// Saves the state of a server list with revisions that must survive a restart; durable on return.
    pub fn save_list_state(
        &self,
        cluster: u64,
        revision: i64,
        retired: &BTreeMap<String, i64>,
    ) -> Result<(), RecordError> {
        let write = self.db.begin_write().map_err(RecordError::write)?;
        {
            let mut meta = write.open_table(META).map_err(RecordError::write)?;
            meta.insert("list.cluster", cluster).map_err(RecordError::write)?;
            meta.insert("list.revision", revision as u64).map_err(RecordError::write)?;
            let mut table = write.open_table(RETIRED).map_err(RecordError::write)?;
            for (id, boot) in retired {
                table.insert(id.as_str(), *boot).map_err(RecordError::write)?;
            }
        }
        write.commit().map_err(RecordError::write)
    }

    /// Removes the cluster and revision of a server list, but keeps its retired starts.
    pub fn forget_list_position(&self) -> Result<(), RecordError> {
        let write = self.db.begin_write().map_err(RecordError::write)?;
        {
            let mut meta = write.open_table(META).map_err(RecordError::write)?;
            meta.remove("list.cluster").map_err(RecordError::write)?;
            meta.remove("list.revision").map_err(RecordError::write)?;
        }
        write.commit().map_err(RecordError::write)
    }

    /// Writes slices and, if given, the server list, atomically; durable on return.
    pub fn write(&self, slices: &[SliceRow], list: Option<&[ServerRow]>) -> Result<(), RecordError> {
        let write = self.db.begin_write().map_err(RecordError::write)?;
        {
            let mut table = write.open_table(SLICES).map_err(RecordError::write)?;
            for row in slices {
                let owner = row.owner.as_deref().unwrap_or("");
                table
                    .insert(row.slice, (owner, row.weight, row.mark, row.term))
                    .map_err(RecordError::write)?;
            }
        }
        if let Some(list) = list {
            let mut table = write.open_table(SERVERS).map_err(RecordError::write)?;
            table.retain(|_, _| false).map_err(RecordError::write)?;
            for row in list {
                let entry = (row.health, row.boot, row.zone.as_str(), row.address.as_str());
                table.insert(row.id.as_str(), entry).map_err(RecordError::write)?;
            }
        }
        write.commit().map_err(RecordError::write)
    }
}

/// Makes a file's directory entry durable.
fn sync_directory(path: &Path) -> std::io::Result<()> {
    let directory =
        path.parent().filter(|directory| !directory.as_os_str().is_empty()).unwrap_or(Path::new("."));
    match std::fs::File::open(directory)?.sync_all() {
        // Some file systems can't sync directories.
        Err(error) if error.kind() == std::io::ErrorKind::InvalidInput => Ok(()),
        synced => synced,
    }
}

/// Reads all of a file without modifying it, and rejects a damaged one. A file left by a killed process has to be repaired
/// before it can be read, so this opens a copy in memory.
fn inspect(path: &Path) -> Result<Contents, RecordError> {
    // redb panics on some kinds of damage.
    let inspected = std::panic::catch_unwind(|| inspect_copy(path));
    let damaged =
        |why: &str| RecordError::Open { path: path.to_owned(), why: format!("the file is damaged: {why}") };
    match inspected {
        Ok(Err(RecordError::Read(why))) => Err(damaged(&why)),
        Ok(result) => result,
        Err(_) => Err(damaged("redb panicked")),
    }
}

/// Opens a copy of the file in memory, verifies it and reads it.
fn inspect_copy(path: &Path) -> Result<Contents, RecordError> {
    let unreadable = |error: std::io::Error| RecordError::open(path, error.into());
    // Locks the file against a process that writes to it; not possible if it needs repair.
    let _lock = match ReadOnlyDatabase::open(path) {
        Ok(lock) => Some(lock),
        Err(DatabaseError::RepairAborted) => None,
        Err(error) => return Err(RecordError::open(path, error)),
    };
    let bytes = std::fs::read(path).map_err(unreadable)?;
    let copy = InMemoryBackend::new();
    copy.set_len(bytes.len() as u64).and_then(|()| copy.write(0, &bytes)).map_err(unreadable)?;
    let mut db = Database::builder().create_with_backend(copy).map_err(|e| RecordError::open(path, e))?;
    if !db.check_integrity().map_err(|e| RecordError::open(path, e))? {
        return Err(RecordError::read("checksums differ"));
    }
    check(&db, path)?;
    contents(&db)
}

/// Checks that the database is a record of this layout.
fn check(db: &impl ReadableDatabase, path: &Path) -> Result<(), RecordError> {
    let read = db.begin_read().map_err(RecordError::read)?;
    let meta: ReadOnlyTable<&str, u64> = match read.open_table(META) {
        Ok(meta) => meta,
        Err(TableError::TableDoesNotExist(_) | TableError::TableTypeMismatch { .. }) => {
            return Err(RecordError::Foreign(path.to_owned()))
        }
        Err(error) => return Err(RecordError::read(error)),
    };
    match meta.get("layout").map_err(RecordError::read)?.map(|layout| layout.value()) {
        Some(LAYOUT) => Ok(()),
        Some(layout) => Err(RecordError::Layout { path: path.to_owned(), found: layout, expected: LAYOUT }),
        None => Err(RecordError::Foreign(path.to_owned())),
    }
}

fn contents(db: &impl ReadableDatabase) -> Result<Contents, RecordError> {
    let read = db.begin_read().map_err(RecordError::read)?;
    let meta = read.open_table(META).map_err(RecordError::read)?;
    let term = meta.get("term").map_err(RecordError::read)?.map_or(0, |term| term.value());
    let mut slices = Vec::new();
    for row in read.open_table(SLICES).map_err(RecordError::read)?.iter().map_err(RecordError::read)? {
        let (slice, row) = row.map_err(RecordError::read)?;
        let (owner, weight, mark, term) = row.value();
        let owner = Some(owner.to_owned()).filter(|owner| !owner.is_empty());
        slices.push(SliceRow { slice: slice.value(), owner, weight, mark, term, boot: 0 });
    }
    let mut servers = Vec::new();
    for row in read.open_table(SERVERS).map_err(RecordError::read)?.iter().map_err(RecordError::read)? {
        let (id, row) = row.map_err(RecordError::read)?;
        let (health, boot, zone, address) = row.value();
        let (zone, address) = (zone.to_owned(), address.to_owned());
        servers.push(ServerRow { id: id.value().to_owned(), health, boot, zone, address });
    }
    Ok(Contents { term, slices, servers })
}
