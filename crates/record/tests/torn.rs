//! Commits interrupted by a crash of the machine: any part of the changed sectors may be on the disk, in any order. The record
//! must then be the one before or the one after, or be rejected with an error that names the file.

use std::collections::BTreeMap;
use std::path::Path;

use fastrand::Rng;
use ravenspar_record::{Contents, Record, ServerRow, SliceRow};

/// The unit that a disk writes atomically.
const SECTOR: usize = 512;

/// The seeds to run, `FROM..TO` in RAVENSPAR_TORN, else two.
fn seeds() -> std::ops::Range<u64> {
    let range = std::env::var("RAVENSPAR_TORN").ok();
    let range = range.as_deref().and_then(|range| range.split_once(".."));
    range.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?)).unwrap_or(0..2)
}

fn rows(rng: &mut Rng) -> Vec<SliceRow> {
    let count = rng.usize(1..200);
    let slices: BTreeMap<u32, SliceRow> = (0..count)
        .map(|_| {
            let slice = rng.u32(0..300);
            let owner = rng.bool().then(|| format!("server-{}", rng.u8(..)));
            let row = SliceRow {
                slice,
                owner,
                weight: rng.u64(0..=1_000_000),
                mark: rng.u64(..),
                term: 1,
                boot: 0,
            };
            (slice, row)
        })
        .collect();
    slices.into_values().collect()
}

fn list(rng: &mut Rng) -> Vec<ServerRow> {
    let server = |id: u8| ServerRow {
        id: format!("server-{id}"),
        health: 0,
        boot: 7,
        zone: "zone".to_owned(),
        address: "127.0.0.1:1".to_owned(),
    };
    (0..rng.u8(0..60)).map(server).collect()
}

/// The file before a commit, with a random part of the sectors written by it.
fn torn(before: &[u8], after: &[u8], rng: &mut Rng) -> Vec<u8> {
    let written_share = rng.f64();
    // The file may have grown already or not.
    let mut torn = before.to_vec();
    if rng.f64() < 0.8 {
        torn.resize(after.len().max(before.len()), 0);
    }
    for offset in (0..torn.len().min(after.len())).step_by(SECTOR) {
        let end = (offset + SECTOR).min(torn.len()).min(after.len());
        if rng.f64() < written_share {
            torn[offset..end].copy_from_slice(&after[offset..end]);
        }
    }
    torn
}

fn read_contents(path: &Path) -> Result<Contents, String> {
    let result = std::panic::catch_unwind(|| Record::open(path).and_then(|record| record.contents()));
    match result {
        Ok(Ok(contents)) => Ok(contents),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("panicked".to_owned()),
    }
}

#[derive(Default, Debug)]
struct Counts {
    before: usize,
    after: usize,
    rejected: usize,
}

/// Makes several commits and interrupts each in several random ways.
fn run_torn_commits(seed: u64, counts: &mut Counts) -> Result<(), String> {
    const COMMITS: usize = 6;
    const VARIANTS: usize = 8;
    let mut rng = Rng::with_seed(seed);
    let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
    let (path, left) = (dir.path().join("steward.redb"), dir.path().join("left.redb"));
    let record = Record::open(&path).map_err(|e| e.to_string())?;
    for commit in 0..COMMITS {
        let (expected, before) =
            (record.contents().map_err(|e| e.to_string())?, std::fs::read(&path).map_err(|e| e.to_string())?);
        let rows = rows(&mut rng);
        let list = rng.bool().then(|| list(&mut rng));
        record.write(&rows, list.as_deref()).map_err(|e| e.to_string())?;
        let (next, after) =
            (record.contents().map_err(|e| e.to_string())?, std::fs::read(&path).map_err(|e| e.to_string())?);
        for variant in 0..VARIANTS {
            std::fs::write(&left, torn(&before, &after, &mut rng)).map_err(|e| e.to_string())?;
            let case = format!("commit {commit}, way {variant}");
            match read_contents(&left) {
                Ok(contents) if contents == expected => counts.before += 1,
                Ok(contents) if contents == next => counts.after += 1,
                Ok(_) => return Err(format!("{case}: neither the record before nor the one after")),
                Err(why) if why.contains("left.redb") => {
                    println!("seed {seed}, {case}: rejected: {why}");
                    counts.rejected += 1;
                }
                Err(why) => return Err(format!("{case}: rejected without the file's name: {why}")),
            }
        }
    }
    Ok(())
}

#[test]
fn a_torn_commit_leaves_the_record_before_or_after() {
    let (mut counts, mut failed) = (Counts::default(), Vec::new());
    for seed in seeds() {
        failed.extend(run_torn_commits(seed, &mut counts).err().map(|why| (seed, why)));
    }
    println!("{counts:?}");
    assert!(failed.is_empty(), "{failed:?}");
    assert!(counts.before > 0 && counts.after > 0, "{counts:?}");
}

/// A file with corrupted bytes is read unchanged, or rejected with an error that names it.
#[test]
fn a_corrupted_record_is_read_unchanged_or_rejected_by_name() {
    let (mut intact, mut rejected, mut failed) = (0, 0, Vec::new());
    for seed in seeds() {
        let mut rng = Rng::with_seed(seed);
        let dir = tempfile::tempdir().expect("a temporary directory");
        let (path, left) = (dir.path().join("steward.redb"), dir.path().join("left.redb"));
        let record = Record::open(&path).expect("create");
        record.write(&rows(&mut rng), Some(&list(&mut rng))).expect("write");
        let expected = record.contents().expect("read");
        drop(record);
        let bytes = std::fs::read(&path).expect("read the file");
        for _ in 0..40 {
            let mut damaged = bytes.clone();
            let (offset, length) = (rng.usize(0..bytes.len()), rng.usize(1..2 * SECTOR));
            damaged.iter_mut().skip(offset).take(length).for_each(|byte| *byte = rng.u8(..));
            std::fs::write(&left, damaged).expect("write");
            match read_contents(&left) {
                Ok(contents) if contents == expected => intact += 1,
                Ok(_) => failed.push((seed, offset, length, "different contents".to_owned())),
                Err(why) if why.contains("left.redb") => rejected += 1,
                Err(why) => failed.push((seed, offset, length, why)),
            }
        }
    }
    println!("intact {intact}, rejected {rejected}");
    assert!(
        failed.is_empty(),
        "{} of {}: {:?}",
        failed.len(),
        intact + rejected + failed.len(),
        &failed[..failed.len().min(6)]
    );
}
