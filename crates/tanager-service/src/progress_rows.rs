//! Division of a job's progress among rows of bounded size.
//!
//! Most jobs have one row, their header. If it would exceed [`PART_BYTES`], the progress of tasks moves to
//! parts: each has the tasks from its first chunk up to the next part, and is divided when it becomes too
//! large. Rows of one job may be stored by several transactions, in an order in which what is stored is
//! never behind what was acknowledged before: a part that takes over tasks precedes the part that had
//! them, and the header of done occurrences precedes the parts without them. When a job is divided for the
//! first time, the header comes last; until then it has everything.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::OccurrenceProgress;
use tanager_jobs::ProgressRecord;
use tanager_jobs::TaskProgress;
use tanager_jobs::record::decode_record;
use tanager_jobs::record::encode_record;
use tanager_protocol::error::TanagerResult;
use tanager_site::store::RowName;
use tanager_site::store::TableRow;
use xxhash_rust::xxh3::xxh3_64;

/// Size of a row in bytes from which it is divided, if the store does not ask for less. Each change writes
/// its row anew.
const PART_BYTES: usize = 16_384;
/// Number of tasks of a chunk, which is not divided any further: with checkpoints of 7,000 bytes it
/// has some 60 KB.
const CHUNK_TASKS: u32 = 8;
/// Number of hexadecimal digits of the bitmap of a chunk.
const CHUNK_DIGITS: usize = CHUNK_TASKS as usize / 4;

/// Names a chunk of tasks of a job.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ChunkKey {
    occurrence: u32,
    step: u16,
    chunk: u32,
}

/// Progress of the tasks of a chunk.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChunkProgress {
    /// Done tasks: a bitmap in hexadecimal digits.
    #[serde(skip_serializing_if = "String::is_empty")]
    done: String,
    /// Progress by index.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    tasks: BTreeMap<u32, TaskProgress>,
}

/// Row with a part of a job's progress.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProgressPart {
    /// Progress by chunk: `OCCURRENCE.STEP.CHUNK`.
    chunks: BTreeMap<String, ChunkProgress>,
}

type ChunkMap = BTreeMap<ChunkKey, ChunkProgress>;

/// A row to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgressRow {
    /// Key of the row.
    pub key: String,
    /// Content.
    pub value: Vec<u8>,
    /// First chunk of a part; `None` for the header.
    part: Option<ChunkKey>,
}

/// Rows of a job that one transaction stores.
#[derive(Clone, Debug)]
pub struct ProgressWrite {
    /// Job.
    pub id: JobId,
    /// Rows among those planned, from the first on: the key of the part, and the hash of the content.
    rows: Vec<(Option<ChunkKey>, u64)>,
    state: JobState,
    is_divided: bool,
}

/// Rows of one job that has more than its header, or may have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobLayout {
    /// Whether the stored header refers to parts.
    is_divided: bool,
    /// Hash of the stored header.
    header: u64,
    /// Hashes of the stored parts, by their first chunks.
    parts: BTreeMap<ChunkKey, u64>,
}

/// Rows of the jobs of a cell whose progress is divided.
#[derive(Clone, Debug, Default)]
pub struct ProgressTable {
    jobs: HashMap<JobId, JobLayout>,
}

impl fmt::Display for ChunkKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}",
            self.occurrence, self.step, self.chunk
        )
    }
}

impl FromStr for ChunkKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parse = || {
            let mut numbers = text.split('.');
            let key = Self {
                occurrence: numbers.next()?.parse().ok()?,
                step: numbers.next()?.parse().ok()?,
                chunk: numbers.next()?.parse().ok()?,
            };
            numbers.next().is_none().then_some(key)
        };
        parse().ok_or_else(|| format!("invalid chunk {text:?}"))
    }
}

impl ProgressTable {
    /// Adds the rows of a job that were loaded.
    pub fn insert(&mut self, id: JobId, layout: JobLayout) {
        self.jobs.insert(id, layout);
    }

    /// Returns the rows to write for the progress of a job, in the order in which they must be stored.
    /// A row is larger than `row_bytes` only if it has a single chunk.
    ///
    /// # Errors
    ///
    /// If a record cannot be encoded.
    pub fn plan(
        &self,
        id: JobId,
        progress: &ProgressRecord,
        row_bytes: usize,
    ) -> TanagerResult<Vec<ProgressRow>> {
        let limit = row_bytes.min(PART_BYTES);
        let layout = self.jobs.get(&id);
        let header = header_row(id, encode_record(progress)?);
        if progress.state != JobState::Open {
            return Ok(vec![header]);
        }
        if layout.is_none() && header.value.len() <= limit {
            return Ok(vec![header]);
        }
        let known = layout.cloned().unwrap_or_default();
        let mut parts = divide(id, &chunks_of(progress), &known, limit)?;
        parts.retain(|row| {
            let stored = row.part.and_then(|part| known.parts.get(&part));
            stored != Some(&xxh3_64(&row.value))
        });
        let record = ProgressRecord {
            is_divided: true,
            occurrences: BTreeMap::new(),
            ..progress.clone()
        };
        let header = header_row(id, encode_record(&record)?);
        match known.is_divided {
            true if known.header == xxh3_64(&header.value) => {}
            true => parts.insert(0, header),
            false => parts.push(header),
        }
        Ok(parts)
    }

    /// Records that rows of jobs are stored; returns the keys of rows that are not needed any more.
    pub fn record_stored(&mut self, writes: &[ProgressWrite]) -> Vec<String> {
        let mut obsolete = Vec::new();
        for write in writes {
            if write.state != JobState::Open {
                obsolete.extend(self.remove(write.id));
                continue;
            }
            let has_layout = self.jobs.contains_key(&write.id);
            let is_single = !write.is_divided;
            if is_single && !has_layout {
                continue;
            }
            let layout = self.jobs.entry(write.id).or_default();
            for &(part, hash) in &write.rows {
                match part {
                    Some(part) => _ = layout.parts.insert(part, hash),
                    None => (layout.is_divided, layout.header) = (true, hash),
                }
            }
        }
        obsolete
    }

    /// Forgets a job; returns the keys of its parts.
    pub fn remove(&mut self, id: JobId) -> Vec<String> {
        let layout = self.jobs.remove(&id).unwrap_or_default();
        (layout.parts.into_keys())
            .map(|part| part_key(id, part))
            .collect()
    }
}

impl ProgressWrite {
    /// Describes the first `count` rows of a plan.
    pub fn new(id: JobId, progress: &ProgressRecord, rows: &[ProgressRow], count: usize) -> Self {
        Self {
            id,
            rows: (rows[..count].iter())
                .map(|row| (row.part, xxh3_64(&row.value)))
                .collect(),
            state: progress.state,
            is_divided: rows.len() > 1 || rows.iter().any(|row| row.part.is_some()),
        }
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

fn header_row(id: JobId, value: Vec<u8>) -> ProgressRow {
    ProgressRow {
        key: id.to_string(),
        value,
        part: None,
    }
}

fn part_key(id: JobId, part: ChunkKey) -> String {
    format!("{id}/{part}")
}

/// Splits the key of a row into the text of the job's id and the part.
fn split_key(key: &str) -> (&str, Option<&str>) {
    match key.split_once('/') {
        Some((job, part)) => (job, Some(part)),
        None => (key, None),
    }
}

/// Divides the progress of all tasks into chunks; those without progress are left out.
fn chunks_of(progress: &ProgressRecord) -> ChunkMap {
    let mut chunks = ChunkMap::new();
    for (&occurrence, entry) in &progress.occurrences {
        for (&step, bitmap) in &entry.done_tasks {
            for (chunk, digits) in bitmap.as_bytes().chunks(CHUNK_DIGITS).enumerate() {
                if digits.iter().all(|digit| *digit == b'0') {
                    continue;
                }
                let key = ChunkKey {
                    occurrence,
                    step,
                    chunk: chunk as u32,
                };
                let done = String::from_utf8_lossy(digits).into_owned();
                chunks.entry(key).or_default().done = done;
            }
        }
        for (name, task) in &entry.tasks {
            let Some((step, index)) = parse_task(name) else {
                continue;
            };
            let key = ChunkKey {
                occurrence,
                step,
                chunk: index / CHUNK_TASKS,
            };
            let tasks = &mut chunks.entry(key).or_default().tasks;
            tasks.insert(index, task.clone());
        }
    }
    chunks
}

fn parse_task(name: &str) -> Option<(u16, u32)> {
    let (step, index) = name.split_once('.')?;
    Some((step.parse().ok()?, index.parse().ok()?))
}

/// Returns the rows of all parts, the last one first.
fn divide(
    id: JobId,
    chunks: &ChunkMap,
    layout: &JobLayout,
    limit: usize,
) -> TanagerResult<Vec<ProgressRow>> {
    let mut starts: Vec<ChunkKey> = layout.parts.keys().copied().collect();
    if starts.first() != Some(&ChunkKey::default()) {
        starts.insert(0, ChunkKey::default());
    }
    let mut rows = Vec::new();
    for (position, &start) in starts.iter().enumerate().rev() {
        let next = starts.get(position + 1);
        let of_part: Vec<_> = (chunks.range(start..))
            .take_while(|(key, _)| next.is_none_or(|next| *key < next))
            .collect();
        let mut pending = vec![(start, &of_part[..])];
        while let Some((start, chunks)) = pending.pop() {
            let record = ProgressPart {
                chunks: (chunks.iter())
                    .map(|(key, chunk)| (key.to_string(), (*chunk).clone()))
                    .collect(),
            };
            let value = encode_record(&record)?;
            if value.len() <= limit || chunks.len() <= 1 {
                rows.push(ProgressRow {
                    key: part_key(id, start),
                    value,
                    part: Some(start),
                });
                continue;
            }
            let (lower, upper) = chunks.split_at(chunks.len() / 2);
            pending.push((start, lower));
            pending.push((*upper[0].0, upper));
        }
    }
    Ok(rows)
}

/// Combines the parts of a job. Each chunk is taken from the part whose range it is in.
fn join(
    header: ProgressRecord,
    parts: &BTreeMap<ChunkKey, ProgressPart>,
) -> Result<ProgressRecord, String> {
    let mut chunks: BTreeMap<ChunkKey, &ChunkProgress> = BTreeMap::new();
    for (&start, part) in parts {
        let next = parts.range(start..).nth(1).map(|(next, _)| *next);
        for (name, chunk) in &part.chunks {
            let key: ChunkKey = name.parse()?;
            if key >= start && next.is_none_or(|next| key < next) {
                chunks.insert(key, chunk);
            }
        }
    }
    let mut occurrences: BTreeMap<u32, OccurrenceProgress> = BTreeMap::new();
    for (key, chunk) in chunks {
        let entry = occurrences.entry(key.occurrence).or_default();
        if !chunk.done.is_empty() {
            let bitmap = entry.done_tasks.entry(key.step).or_default();
            let padding = (key.chunk as usize * CHUNK_DIGITS).saturating_sub(bitmap.len());
            bitmap.push_str(&"0".repeat(padding));
            bitmap.push_str(&chunk.done);
        }
        for (index, task) in &chunk.tasks {
            let name = format!("{}.{index}", key.step);
            entry.tasks.insert(name, task.clone());
        }
    }
    Ok(ProgressRecord {
        occurrences,
        ..header
    })
}

/// Rows of progress in the part of one cell, grouped by job.
#[derive(Debug, Default)]
struct JobRows {
    header: Option<TableRow>,
    parts: Vec<TableRow>,
}

/// Stored progress of a cell and of those that it absorbed.
#[derive(Debug, Default)]
pub struct LoadedProgress {
    /// Progress by the text of the job's id.
    pub jobs: BTreeMap<String, ProgressRecord>,
    /// Jobs whose rows cannot be read, with the problems. What they have done is not known.
    pub unreadable: Vec<(String, String)>,
    /// Rows of the cell itself.
    pub table: ProgressTable,
    /// Keys of rows of the cell itself that are not needed.
    pub obsolete: Vec<String>,
    /// Rows of absorbed cells from which jobs were loaded, by the text of the job's id.
    pub absorbed: BTreeMap<String, Vec<RowName>>,
    /// All rows of absorbed cells.
    pub absorbed_rows: Vec<RowName>,
    /// Jobs among `absorbed` whose progress was taken.
    pub readable: BTreeSet<String>,
}

impl LoadedProgress {
    /// Takes the progress of all jobs.
    pub fn take_jobs(&mut self) -> BTreeMap<String, ProgressRecord> {
        let jobs = std::mem::take(&mut self.jobs);
        let readable = (self.absorbed.keys()).filter(|job| jobs.contains_key(*job));
        self.readable = readable.cloned().collect();
        jobs
    }
}

/// Loads the progress of a cell, whose rows come first, and of the cells that it absorbed. The first cell
/// with the header of a job has all of it.
pub fn load_progress(cells: Vec<Vec<TableRow>>) -> LoadedProgress {
    let mut loaded = LoadedProgress::default();
    let mut own_parts: BTreeMap<String, Vec<TableRow>> = BTreeMap::new();
    for (position, rows) in cells.into_iter().enumerate() {
        for (job, rows) in group_by_job(rows) {
            let names = (rows.header.iter().chain(&rows.parts)).map(|row| row.name.clone());
            if position > 0 {
                loaded.absorbed_rows.extend(names.clone());
            }
            let is_known = loaded.jobs.contains_key(&job)
                || loaded
                    .unreadable
                    .iter()
                    .any(|(unreadable, _)| *unreadable == job);
            let Some(header) = rows.header.as_ref().filter(|_| !is_known) else {
                if position == 0 {
                    own_parts.insert(job, rows.parts);
                }
                continue;
            };
            if position > 0 {
                loaded.absorbed.insert(job.clone(), names.collect());
            }
            match read_job(header, &rows.parts) {
                Ok((progress, layout)) => {
                    match job.parse() {
                        Ok(id) if position == 0 && layout.is_divided => {
                            loaded.table.insert(id, layout);
                        }
                        _ if position == 0 => _ = own_parts.insert(job.clone(), rows.parts),
                        _ => {}
                    }
                    loaded.jobs.insert(job, progress);
                }
                Err(problem) => loaded.unreadable.push((job, problem)),
            }
        }
    }
    // Parts without a header that refers to them: their job was being divided, or has ended.
    for (job, parts) in own_parts {
        let is_open = (loaded.jobs.get(&job)).is_some_and(|job| job.state == JobState::Open);
        let starts = parts.iter().filter_map(|row| part_of(row).ok());
        match job.parse() {
            Ok(id) if is_open && !parts.is_empty() => {
                let layout = JobLayout {
                    parts: starts.map(|start| (start, 0)).collect(),
                    ..JobLayout::default()
                };
                loaded.table.insert(id, layout);
            }
            _ => (loaded.obsolete).extend(parts.into_iter().map(|row| row.name.key)),
        }
    }
    loaded
}

fn group_by_job(rows: Vec<TableRow>) -> BTreeMap<String, JobRows> {
    let mut jobs: BTreeMap<String, JobRows> = BTreeMap::new();
    for row in rows {
        let (job, part) = split_key(&row.name.key);
        let entry = jobs.entry(job.to_owned()).or_default();
        match part {
            None => entry.header = Some(row),
            Some(_) => entry.parts.push(row),
        }
    }
    jobs
}

fn part_of(row: &TableRow) -> Result<ChunkKey, String> {
    split_key(&row.name.key).1.unwrap_or_default().parse()
}

/// Reads the progress of a job from its rows.
fn read_job(header: &TableRow, parts: &[TableRow]) -> Result<(ProgressRecord, JobLayout), String> {
    let record: ProgressRecord =
        decode_record(&header.name.key, &header.value).map_err(|error| error.to_string())?;
    if !record.is_divided || record.state != JobState::Open {
        return Ok((record, JobLayout::default()));
    }
    let mut layout = JobLayout {
        is_divided: true,
        header: xxh3_64(&header.value),
        parts: BTreeMap::new(),
    };
    let mut records = BTreeMap::new();
    for row in parts {
        let start = part_of(row)?;
        let part: ProgressPart =
            decode_record(&row.name.key, &row.value).map_err(|error| error.to_string())?;
        layout.parts.insert(start, xxh3_64(&row.value));
        records.insert(start, part);
    }
    Ok((join(record, &records)?, layout))
}
