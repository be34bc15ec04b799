//! Plan for the rows of cells that were merged into a cell: which are copied into its own part, and which
//! are removed when all are copied.
//!
//! Until then, rows of this cell supersede those of an absorbed cell with the same key. Ended jobs are
//! not removed meanwhile: the superseded row would show them as open again.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use tanager_jobs::JobId;
use tanager_site::store::RowName;
use tanager_site::store::TableRow;

/// Maximum number of job rows copied in one transaction: half of its entries, so that new jobs and
/// ends are stored meanwhile.
const MAX_COPIES: usize = 45;

/// Row of a job that is to be copied: its key and value.
pub(crate) type CopiedRow = (String, Vec<u8>);

/// What remains to be done about the rows of absorbed cells.
#[derive(Debug, Default)]
pub(crate) struct Absorption {
    copies: VecDeque<CopiedRow>,
    /// Jobs whose progress must be stored in this cell.
    progress: BTreeSet<JobId>,
    /// Rows of the absorbed cells.
    obsolete: Vec<RowName>,
    /// Whether workers of the absorbed cells may not be stored in this cell yet.
    awaits_workers: bool,
    is_removing: bool,
}

impl Absorption {
    /// Plans to copy the rows of jobs, to store the progress of jobs and to remove rows.
    pub(crate) fn new(
        copies: Vec<CopiedRow>,
        progress: BTreeSet<JobId>,
        obsolete: Vec<RowName>,
    ) -> Self {
        Self {
            copies: copies.into(),
            progress,
            awaits_workers: !obsolete.is_empty(),
            obsolete,
            is_removing: false,
        }
    }

    /// Returns whether nothing remains to be done, so that ended jobs may be removed.
    pub(crate) fn is_complete(&self) -> bool {
        self.copies.is_empty() && self.progress.is_empty() && self.obsolete.is_empty()
    }

    /// Returns whether rows wait to be copied.
    pub(crate) fn has_copies(&self) -> bool {
        !self.copies.is_empty()
    }

    /// Takes the next rows to copy among those that `is_selected`, as long as `fits` accepts their sizes
    /// in bytes.
    pub(crate) fn take_copies(
        &mut self,
        is_selected: impl Fn(&str) -> bool,
        mut fits: impl FnMut(usize) -> bool,
    ) -> Vec<CopiedRow> {
        let mut taken = Vec::new();
        let mut left = VecDeque::new();
        while taken.len() < MAX_COPIES
            && let Some(row) = self.copies.pop_front()
        {
            if !is_selected(&row.0) {
                left.push_back(row);
            } else if fits(row.1.len()) {
                taken.push(row);
            } else {
                left.push_back(row);
                break;
            }
        }
        left.append(&mut self.copies);
        self.copies = left;
        taken
    }

    /// Returns rows that a transaction did not store.
    pub(crate) fn restore_copies(&mut self, copies: &[CopiedRow]) {
        for row in copies.iter().rev() {
            self.copies.push_front(row.clone());
        }
    }

    /// Records that the progress of jobs was stored.
    pub(crate) fn record_stored(&mut self, jobs: impl Iterator<Item = JobId>) {
        for id in jobs {
            self.progress.remove(&id);
        }
    }

    /// Records that all workers of the absorbed cells are stored in this one.
    pub(crate) fn record_workers_stored(&mut self) {
        self.awaits_workers = false;
    }

    /// Returns the rows to remove once all is copied; only the first call returns any.
    pub(crate) fn begin_removal(&mut self) -> Vec<RowName> {
        let is_due = self.copies.is_empty()
            && self.progress.is_empty()
            && !self.awaits_workers
            && !self.is_removing;
        match is_due {
            true => {
                self.is_removing = true;
                self.obsolete.clone()
            }
            false => Vec::new(),
        }
    }

    pub(crate) fn end_removal(&mut self) {
        self.obsolete.clear();
    }
}

/// Rows of a table, of a cell and of those that it absorbed, in the order of `absorbed_cells`.
pub(crate) struct AbsorbedRows {
    /// Rows by which the cell is loaded, one for each key.
    pub(crate) current: Vec<TableRow>,
    /// Number of rows of the cell itself at the beginning of `current`.
    pub(crate) own: usize,
    /// Names of all rows in the parts of absorbed cells.
    pub(crate) obsolete: Vec<RowName>,
}

impl AbsorbedRows {
    /// Lets another row of the cell itself come first for each number, so that the first jobs, which get memory first, are
    /// not always the same.
    pub(crate) fn rotate(&mut self, number: u32) {
        let own = &mut self.current[..self.own];
        if !own.is_empty() {
            let offset = number as usize % own.len();
            own.rotate_left(offset);
        }
    }
}

/// Combines the rows of a table of a cell and of the cells that it absorbed: the first row with a key
/// supersedes the others.
pub(crate) fn combine_rows(tables: Vec<Vec<TableRow>>) -> AbsorbedRows {
    let mut keys = BTreeSet::new();
    let mut combined = AbsorbedRows {
        current: Vec::new(),
        own: 0,
        obsolete: Vec::new(),
    };
    for (position, rows) in tables.into_iter().enumerate() {
        for row in rows {
            if position > 0 {
                combined.obsolete.push(row.name.clone());
            }
            if keys.insert(row.name.key.clone()) {
                combined.own += usize::from(position == 0);
                combined.current.push(row);
            }
        }
    }
    combined
}
