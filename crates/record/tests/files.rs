//! Files that are not a record, or are damaged, are rejected and left untouched.

use std::path::Path;

use ravenspar_record::{Record, RecordError, ServerRow, SliceRow};
use redb::{Database, TableDefinition};

fn row(slice: u32, owner: Option<&str>, weight: u64) -> SliceRow {
    SliceRow { slice, owner: owner.map(str::to_owned), weight, mark: 3, term: 1, boot: 0 }
}

fn server(id: &str) -> ServerRow {
    let (zone, address) = ("zone".to_owned(), "127.0.0.1:1".to_owned());
    ServerRow { id: id.to_owned(), health: 0, boot: 7, zone, address }
}

/// Opens a file that must be rejected and stay unchanged; returns the error.
fn open_rejected(path: &Path) -> RecordError {
    let before = std::fs::read(path).expect("read the file");
    let error = Record::open(path).err().expect("an error");
    assert!(std::fs::read(path).expect("read the file") == before, "the file was modified");
    error
}

#[test]
fn writes_are_read_back_and_terms_increase() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().join("steward.redb");
    let record = Record::open(&path).expect("create");
    assert_eq!(record.next_term().expect("next term"), 1);
    record
        .write(&[row(0, Some("a"), 500_000), row(1, None, 0)], Some(&[server("a"), server("b")]))
        .expect("write");
    record.write(&[row(0, Some("b"), 1_000_000)], Some(&[server("b")])).expect("write");
    assert!(Record::open(&path).is_err(), "two stewards opened one record");
    drop(record);
    let record = Record::open(&path).expect("open");
    assert_eq!(record.next_term().expect("next term"), 2);
    let contents = record.contents().expect("read");
    assert_eq!(contents.slices, [row(0, Some("b"), 1_000_000), row(1, None, 0)]);
    assert_eq!(contents.servers, [server("b")]);
    drop(record);
    assert_eq!(Record::read(&path).expect("read").term, 2);
}

#[test]
fn foreign_newer_and_invalid_files_are_rejected_untouched() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().join("file");
    std::fs::write(&path, "servers: []\n").expect("write");
    assert!(matches!(open_rejected(&path), RecordError::Open { .. }));
    std::fs::write(&path, "").expect("write");
    assert!(matches!(open_rejected(&path), RecordError::Open { .. }));

    let foreign = dir.path().join("foreign");
    Database::create(&foreign).expect("create");
    assert!(matches!(open_rejected(&foreign), RecordError::Foreign(_)));

    let newer = dir.path().join("newer");
    let db = Database::create(&newer).expect("create");
    let write = db.begin_write().expect("begin");
    let meta: TableDefinition<&str, u64> = TableDefinition::new("ravenspar");
    write.open_table(meta).expect("open table").insert("layout", 2).expect("write");
    write.commit().expect("write");
    drop(db);
    assert!(matches!(open_rejected(&newer), RecordError::Layout { found: 2, expected: 1, .. }));
}

/// The copy of an open file is what a killed process leaves behind.
#[test]
fn the_file_of_a_killed_process_can_be_read_and_opened() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let (path, left) = (dir.path().join("steward.redb"), dir.path().join("left.redb"));
    let record = Record::open(&path).expect("create");
    record.write(&[row(0, Some("a"), 1_000_000)], None).expect("write");
    std::fs::copy(&path, &left).expect("copy");
    let before = std::fs::read(&left).expect("read the file");
    assert_eq!(Record::read(&left).expect("read").slices.len(), 1);
    assert!(std::fs::read(&left).expect("read the file") == before, "the file was modified");
    let record = Record::open(&left).expect("open");
    assert_eq!(record.contents().expect("read").slices, [row(0, Some("a"), 1_000_000)]);
}

/// A file cut to any length is rejected, or read with all that was durable; nothing panics.
#[test]
fn a_truncated_file_is_rejected_or_read_whole() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().join("steward.redb");
    let record = Record::open(&path).expect("create");
    let rows: Vec<SliceRow> = (0..200).map(|slice| row(slice, Some("a"), 1_000_000)).collect();
    record.write(&rows, None).expect("write");
    drop(record);
    let original = std::fs::read(&path).expect("read the file");
    for cut in 0..24 {
        let truncated = dir.path().join(format!("truncated-{cut}"));
        std::fs::write(&truncated, &original[..original.len() * cut / 24]).expect("write");
        let before = std::fs::read(&truncated).expect("read the file");
        match std::panic::catch_unwind(|| Record::open(&truncated).and_then(|record| record.contents())) {
            Ok(Ok(contents)) => assert_eq!(contents.slices.len(), 200, "cut to {cut} of 24"),
            Ok(Err(_)) => {
                assert!(std::fs::read(&truncated).expect("read the file") == before, "cut to {cut} of 24")
            }
            Err(_) => panic!("panicked, cut to {cut} of 24"),
        }
    }
}
