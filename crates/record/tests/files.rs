//! Files that are no record, or none any more: refused, and left as they are.

use std::path::Path;

use ravenspar_record::{Fault, Record, ServerRow, SliceRow};
use redb::{Database, TableDefinition};

fn row(slice: u32, owner: Option<&str>, weight: u64) -> SliceRow {
    SliceRow { slice, owner: owner.map(str::to_owned), weight, mark: 3, term: 1, boot: 0 }
}

fn server(id: &str) -> ServerRow {
    let (zone, address) = ("zone".to_owned(), "127.0.0.1:1".to_owned());
    ServerRow { id: id.to_owned(), health: 0, boot: 7, zone, address }
}

/// What opening it says; the file has to be the same afterwards.
fn refused(path: &Path) -> Fault {
    let before = std::fs::read(path).expect("the file");
    let fault = Record::open(path).err().expect("it is refused");
    assert!(std::fs::read(path).expect("the file") == before, "it was touched");
    fault
}

#[test]
fn what_was_written_is_read_and_terms_grow() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("steward.redb");
    let record = Record::open(&path).expect("made");
    assert_eq!(record.next_term().expect("a term"), 1);
    record
        .write(&[row(0, Some("a"), 500_000), row(1, None, 0)], Some(&[server("a"), server("b")]))
        .expect("written");
    record.write(&[row(0, Some("b"), 1_000_000)], Some(&[server("b")])).expect("written");
    assert!(Record::open(&path).is_err(), "two stewards on one record");
    drop(record);
    let record = Record::open(&path).expect("opened");
    assert_eq!(record.next_term().expect("a term"), 2);
    let contents = record.contents().expect("read");
    assert_eq!(contents.slices, [row(0, Some("b"), 1_000_000), row(1, None, 0)]);
    assert_eq!(contents.servers, [server("b")]);
    drop(record);
    assert_eq!(Record::read(&path).expect("read").term, 2);
}

#[test]
fn foreign_newer_and_other_files_are_refused_untouched() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("file");
    std::fs::write(&path, "servers: []\n").expect("written");
    assert!(matches!(refused(&path), Fault::Open { .. }));
    std::fs::write(&path, "").expect("written");
    assert!(matches!(refused(&path), Fault::Open { .. }));

    let foreign = dir.path().join("foreign");
    Database::create(&foreign).expect("made");
    assert!(matches!(refused(&foreign), Fault::Foreign(_)));

    let newer = dir.path().join("newer");
    let base = Database::create(&newer).expect("made");
    let write = base.begin_write().expect("begun");
    let meta: TableDefinition<&str, u64> = TableDefinition::new("ravenspar");
    write.open_table(meta).expect("a table").insert("layout", 2).expect("written");
    write.commit().expect("written");
    drop(base);
    assert!(matches!(refused(&newer), Fault::Layout { found: 2, expected: 1, .. }));
}

/// A process that is killed leaves its file as a copy of an open one is.
#[test]
fn what_a_killed_process_left_is_read_and_opened() {
    let dir = tempfile::tempdir().expect("a folder");
    let (path, left) = (dir.path().join("steward.redb"), dir.path().join("left.redb"));
    let record = Record::open(&path).expect("made");
    record.write(&[row(0, Some("a"), 1_000_000)], None).expect("written");
    std::fs::copy(&path, &left).expect("copied");
    let before = std::fs::read(&left).expect("the file");
    assert_eq!(Record::read(&left).expect("read").slices.len(), 1);
    assert!(std::fs::read(&left).expect("the file") == before, "it was touched");
    let record = Record::open(&left).expect("opened");
    assert_eq!(record.contents().expect("read").slices, [row(0, Some("a"), 1_000_000)]);
}

/// Whatever length it was cut to: an error or the record, never a panic, and never less than was durable.
#[test]
fn a_torn_file_is_refused_or_whole() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("steward.redb");
    let record = Record::open(&path).expect("made");
    let rows: Vec<SliceRow> = (0..200).map(|slice| row(slice, Some("a"), 1_000_000)).collect();
    record.write(&rows, None).expect("written");
    drop(record);
    let whole = std::fs::read(&path).expect("the file");
    for part in 0..24 {
        let torn = dir.path().join(format!("torn-{part}"));
        std::fs::write(&torn, &whole[..whole.len() * part / 24]).expect("written");
        let before = std::fs::read(&torn).expect("the file");
        match std::panic::catch_unwind(|| Record::open(&torn).and_then(|record| record.contents())) {
            Ok(Ok(contents)) => assert_eq!(contents.slices.len(), 200, "cut to {part} of 24"),
            Ok(Err(_)) => assert!(std::fs::read(&torn).expect("the file") == before, "cut to {part} of 24"),
            Err(_) => panic!("it panicked, cut to {part} of 24"),
        }
    }
}
