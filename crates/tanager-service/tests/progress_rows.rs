//! Rows of the progress of large jobs, as they are stored and loaded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::OccurrenceProgress;
use tanager_jobs::OccurrenceSet;
use tanager_jobs::ProgressRecord;
use tanager_jobs::TaskProgress;
use tanager_jobs::record::decode_done;
use tanager_jobs::record::encode_done;
use tanager_jobs::record::encode_record;
use tanager_service::progress_rows::LoadedProgress;
use tanager_service::progress_rows::ProgressTable;
use tanager_service::progress_rows::ProgressWrite;
use tanager_service::progress_rows::load_progress;
use tanager_site::store::RowName;
use tanager_site::store::TableRow;

const ID: JobId = JobId(0xabc);
const ROW_BYTES: usize = 65_536;

/// Rows of a part of the store.
type Rows = BTreeMap<String, Vec<u8>>;

fn table_rows(cell: &str, rows: &Rows) -> Vec<TableRow> {
    (rows.iter())
        .map(|(key, value)| TableRow {
            name: RowName {
                table: "progress".to_owned(),
                part: cell.to_owned(),
                key: key.clone(),
            },
            value: value.clone(),
            version: 1,
            deleted: false,
        })
        .collect()
}

fn load(rows: &Rows) -> LoadedProgress {
    load_progress(vec![table_rows("pool/0", rows)])
}

fn loaded_job(rows: &Rows) -> ProgressRecord {
    let loaded = load(rows);
    assert!(loaded.unreadable.is_empty(), "{:?}", loaded.unreadable);
    loaded
        .jobs
        .get(&ID.to_string())
        .cloned()
        .unwrap_or_default()
}

/// Stores the first `limit` rows of a plan; returns whether these are all.
fn store(
    table: &mut ProgressTable,
    rows: &mut Rows,
    progress: &ProgressRecord,
    limit: usize,
) -> bool {
    let plan = table.plan(ID, progress, ROW_BYTES).expect("a plan");
    let count = plan.len().min(limit);
    for row in &plan[..count] {
        rows.insert(row.key.clone(), row.value.clone());
    }
    if count > 0 {
        let write = ProgressWrite::new(ID, progress, &plan, count);
        for key in table.record_stored(&[write]) {
            rows.remove(&key);
        }
    }
    count == plan.len()
}

fn task(run: u64, checkpoint: usize) -> TaskProgress {
    TaskProgress {
        failed_runs: vec![run],
        run,
        checkpoint: "c".repeat(checkpoint),
        ..TaskProgress::default()
    }
}

/// Progress of tasks: done, or ended runs.
#[derive(Clone, Debug, Default, PartialEq)]
struct TaskSet {
    done: BTreeSet<(u32, u16, u32)>,
    done_occurrences: BTreeSet<u32>,
    tasks: BTreeMap<(u32, u16, u32), TaskProgress>,
}

impl TaskSet {
    fn of(progress: &ProgressRecord) -> Self {
        let mut set = Self {
            done_occurrences: (progress.done_occurrences.numbers(u32::MAX).into_iter()).collect(),
            ..Self::default()
        };
        for (&occurrence, entry) in &progress.occurrences {
            for (&step, bitmap) in &entry.done_tasks {
                let indices = decode_done(bitmap).into_iter();
                (set.done).extend(indices.map(|index| (occurrence, step, index as u32)));
            }
            for (name, task) in &entry.tasks {
                let (step, index) = name.split_once('.').expect("a name");
                let key = (
                    occurrence,
                    step.parse().expect("a step"),
                    index.parse().expect("an index"),
                );
                set.tasks.insert(key, task.clone());
            }
        }
        set
    }

    fn record(&self, counts: &[u32]) -> ProgressRecord {
        let mut occurrences: BTreeMap<u32, OccurrenceProgress> = BTreeMap::new();
        let mut steps: BTreeMap<(u32, u16), Vec<bool>> = BTreeMap::new();
        for &(occurrence, step, index) in &self.done {
            let done = (steps.entry((occurrence, step)))
                .or_insert_with(|| vec![false; counts[usize::from(step)] as usize]);
            done[index as usize] = true;
        }
        for ((occurrence, step), done) in steps {
            let entry = occurrences.entry(occurrence).or_default();
            entry
                .done_tasks
                .extend(encode_done(&done).map(|text| (step, text)));
        }
        for ((occurrence, step, index), task) in &self.tasks {
            let entry = occurrences.entry(*occurrence).or_default();
            entry.tasks.insert(format!("{step}.{index}"), task.clone());
        }
        ProgressRecord {
            done_occurrences: OccurrenceSet::from_ascending(self.done_occurrences.iter().copied()),
            occurrences,
            ..ProgressRecord::default()
        }
    }
}

/// Returns a job of 2,000 tasks with checkpoints, whose rows are all stored.
fn stored_large_job() -> (TaskSet, ProgressTable, Rows) {
    let tasks = (0..2_000).map(|index| ((0, 0, index), task(1, 100)));
    let set = TaskSet {
        tasks: tasks.collect(),
        ..TaskSet::default()
    };
    let (mut table, mut rows) = (ProgressTable::default(), Rows::new());
    let progress = set.record(&[2_000]);
    assert!(store(&mut table, &mut rows, &progress, usize::MAX));
    (set, table, rows)
}

fn assert_rows_are_bounded(rows: &Rows, limit: usize) {
    for (key, value) in rows {
        assert!(value.len() <= limit, "{key}: {} bytes", value.len());
    }
}

/// Guards against several rows, or a new format, for jobs that need only one row.
#[test]
fn small_job_has_one_row() {
    let set = TaskSet {
        done: BTreeSet::from([(0, 0, 3)]),
        tasks: BTreeMap::from([((0, 0, 4), task(2, 16))]),
        ..TaskSet::default()
    };
    let progress = set.record(&[10]);
    let (mut table, mut rows) = (ProgressTable::default(), Rows::new());
    assert!(store(&mut table, &mut rows, &progress, 10));
    let expected = encode_record(&progress).expect("a row");
    assert_eq!(rows, Rows::from([(ID.to_string(), expected)]));
    assert_eq!(loaded_job(&rows), progress);
}

/// Guards against a row that the store rejects, of a job whose tasks have all failed once and have
/// checkpoints.
#[test]
fn tasks_with_checkpoints_fit_into_rows() {
    for checkpoint in [120, 1_000, 7_000] {
        let tasks = (0..1_200).map(|index| ((0, (index % 3) as u16, index), task(1, checkpoint)));
        let set = TaskSet {
            tasks: tasks.collect(),
            ..TaskSet::default()
        };
        let (mut table, mut rows) = (ProgressTable::default(), Rows::new());
        assert!(store(
            &mut table,
            &mut rows,
            &set.record(&[400; 3]),
            usize::MAX
        ));
        assert_rows_are_bounded(&rows, ROW_BYTES);
        assert_eq!(TaskSet::of(&loaded_job(&rows)), set);
    }
}

/// Guards against a row that the store rejects, of a job with many occurrences that are done or late.
#[test]
fn occurrences_fit_into_rows() {
    let done = (0..10_000).filter(|number| number % 1_000 != 7);
    let late = (10_000..12_500).map(|number| (number, 0, 1));
    let set = TaskSet {
        done_occurrences: done.collect(),
        done: late.collect(),
        ..TaskSet::default()
    };
    let (mut table, mut rows) = (ProgressTable::default(), Rows::new());
    assert!(store(&mut table, &mut rows, &set.record(&[4]), usize::MAX));
    assert_rows_are_bounded(&rows, ROW_BYTES);
    assert_eq!(TaskSet::of(&loaded_job(&rows)), set);
    let done_only = TaskSet {
        done: BTreeSet::new(),
        ..set
    };
    let row = encode_record(&done_only.record(&[4])).expect("a row");
    assert!(row.len() < 4_000, "{}", row.len());
}

/// Guards against writing all rows of a job for each change.
#[test]
fn only_changed_rows_are_written() {
    let (mut set, table, _) = stored_large_job();
    set.tasks.insert((0, 0, 777), task(2, 100));
    let plan = table
        .plan(ID, &set.record(&[2_000]), ROW_BYTES)
        .expect("a plan");
    assert_eq!(plan.len(), 1);
}

/// Guards against rows that remain, or are used, after the end of their job.
#[test]
fn parts_of_an_ended_job_are_removed() {
    let (_, mut table, mut rows) = stored_large_job();
    assert!(rows.len() > 10);
    let ended = ProgressRecord {
        state: JobState::Completed,
        ended_ms: 5,
        ..ProgressRecord::default()
    };
    let parts = rows.clone();
    assert!(store(&mut table, &mut rows, &ended, usize::MAX));
    assert_eq!(rows.len(), 1);
    // The owner died before it removed them.
    rows.extend(parts.into_iter().filter(|(key, _)| key.contains('/')));
    let loaded = load(&rows);
    assert_eq!(loaded.jobs[&ID.to_string()], ended);
    assert_eq!(loaded.obsolete.len(), rows.len() - 1);
}

/// Guards against a job that starts again what it has done, because some of its rows cannot be read.
#[test]
fn unreadable_part_is_reported() {
    let (_, _, mut rows) = stored_large_job();
    let part = rows.keys().find(|key| key.contains('/')).cloned();
    rows.insert(part.expect("a part"), b"{".to_vec());
    let loaded = load(&rows);
    assert!(loaded.jobs.is_empty());
    assert_eq!(loaded.unreadable[0].0, ID.to_string());
}

/// Adds progress at random: failed runs, done tasks, done occurrences.
fn advance(set: &mut TaskSet, random: &mut SmallRng, counts: &[u32]) {
    for _ in 0..random.random_range(1..60) {
        let step = random.random_range(0..counts.len());
        let index = random.random_range(0..counts[step]);
        let key = (random.random_range(0..6), step as u16, index);
        if set.done_occurrences.contains(&key.0) || set.done.contains(&key) {
            continue;
        }
        if random.random_bool(0.3) {
            set.tasks.remove(&key);
            set.done.insert(key);
        } else {
            let run = set.tasks.get(&key).map_or(1, |task| task.run + 1);
            set.tasks
                .insert(key, task(run, random.random_range(0..400)));
        }
    }
    if random.random_bool(0.02) {
        let occurrence = random.random_range(0..6);
        set.done_occurrences.insert(occurrence);
        set.done.retain(|key| key.0 != occurrence);
        set.tasks.retain(|key, _| key.0 != occurrence);
    }
}

/// Checks that a loaded job has at least the progress `acknowledged`.
fn assert_has(loaded: &TaskSet, acknowledged: &TaskSet, seed: u64) {
    let occurrences = &loaded.done_occurrences;
    assert!(
        occurrences.is_superset(&acknowledged.done_occurrences),
        "seed {seed}"
    );
    for key in &acknowledged.done {
        let is_done = occurrences.contains(&key.0) || loaded.done.contains(key);
        assert!(is_done, "seed {seed}: {key:?} is not done any more");
    }
    for (key, task) in &acknowledged.tasks {
        let is_newer = (loaded.tasks.get(key)).is_some_and(|loaded| loaded.run >= task.run);
        let is_done = occurrences.contains(&key.0) || loaded.done.contains(key);
        assert!(is_newer || is_done, "seed {seed}: {key:?} is older");
    }
}

/// Guards against progress that was stored and acknowledged, and is missing after a takeover between two
/// transactions with rows of the same job (TWICE).
#[test]
fn takeover_between_rows_loses_no_progress() {
    let counts = [60, 20];
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let (mut table, mut rows) = (ProgressTable::default(), Rows::new());
        let (mut set, mut acknowledged) = (TaskSet::default(), TaskSet::default());
        for _ in 0..60 {
            advance(&mut set, &mut random, &counts);
            let limit = random.random_range(0..6);
            if store(&mut table, &mut rows, &set.record(&counts), limit) {
                acknowledged = set.clone();
            }
            let loaded = TaskSet::of(&loaded_job(&rows));
            assert_has(&loaded, &acknowledged, seed);
            if random.random_bool(0.1) {
                table = load(&rows).table;
                set = loaded;
            }
        }
        while !store(&mut table, &mut rows, &set.record(&counts), 3) {}
        assert_eq!(TaskSet::of(&loaded_job(&rows)), set, "seed {seed}");
        assert_rows_are_bounded(&rows, ROW_BYTES);
    }
}

/// Guards against progress that is missing because a cell was merged while its rows were copied.
#[test]
fn rows_of_an_absorbed_cell_are_used_until_all_are_copied() {
    let (mut set, _, absorbed) = stored_large_job();
    let load_both = |own: &Rows| {
        load_progress(vec![
            table_rows("pool/0", own),
            table_rows("pool/1", &absorbed),
        ])
    };
    let key = ID.to_string();
    let loaded = load_both(&Rows::new());
    assert_eq!(TaskSet::of(&loaded.jobs[&key]), set);
    assert_eq!(loaded.absorbed[&key].len(), absorbed.len());
    // Some parts are copied, and the owner is replaced.
    let (mut own, mut own_table) = (Rows::new(), loaded.table);
    assert!(!store(&mut own_table, &mut own, &loaded.jobs[&key], 3));
    let loaded = load_both(&own);
    assert_eq!(TaskSet::of(&loaded.jobs[&key]), set);
    let mut own_table = loaded.table;
    set.tasks.insert((0, 0, 5), task(2, 100));
    assert!(store(
        &mut own_table,
        &mut own,
        &set.record(&[2_000]),
        usize::MAX
    ));
    let loaded = load_both(&own);
    assert_eq!(TaskSet::of(&loaded.jobs[&key]), set);
    assert!(loaded.absorbed.is_empty());
    assert_eq!(loaded.absorbed_rows.len(), absorbed.len());
}
