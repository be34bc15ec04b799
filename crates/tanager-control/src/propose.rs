//! Proposals: each appends a change to the log by one conditional transaction.

use std::time::Duration;

use rand::RngExt;
use tokio::time;

use tanager_fleet::CheckContext;
use tanager_fleet::check_change;
use tanager_fleet::record_version;
use tanager_platform::RowCondition;
use tanager_platform::RowWrite;
use tanager_platform::TableTransaction;
use tanager_platform::TransactionResult;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::ids::VmId;
use tanager_protocol::patch::ConfigPatch;
use tanager_protocol::patch::MAX_PATCH_OBJECTS;

use crate::core::ControlCore;
use crate::core::HeadRow;
use crate::core::lock;
use crate::store::HEAD_KEY;
use crate::store::log_key;

/// Attempts of a proposal before it fails with a conflict. At the design size the log receives less
/// than one entry per second, so even a second lost race is rare.
const MAX_ATTEMPTS: u32 = 8;
/// Largest number of reads of the log to resolve a lost response.
const MAX_RESOLVE_READS: u32 = 3;
/// Pause between attempts; it grows with each attempt and is randomised.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A change that is being appended to the log.
struct PendingProposal {
    author: String,
    token: String,
    change: FleetChange,
    context: CheckContext,
    /// Entry of an earlier attempt that may still be accepted.
    unconfirmed: Option<ChangeEntry>,
}

impl ControlCore {
    pub(crate) async fn propose(
        &self,
        author: &str,
        change: FleetChange,
        expected_version: Option<LogVersion>,
    ) -> TanagerResult<ChangeEntry> {
        let _guard = self.proposal_lock.lock().await;
        self.status().counters.proposals += 1;
        let mut proposal = PendingProposal {
            author: author.to_owned(),
            token: format!("{:032x}", rand::rng().random::<u128>()),
            change,
            context: CheckContext {
                expected_version,
                suspects: (self.backend.suspects)(),
            },
            unconfirmed: None,
        };
        let result = self.run_proposal(&mut proposal).await;
        result.map_err(|error| match proposal.unconfirmed {
            // An earlier attempt may still be in transit, regardless of the last error.
            Some(entry) => TanagerError {
                kind: ErrorKind::Unknown,
                message: format!(
                    "{}; entry {} may still be accepted",
                    error.message, entry.version
                ),
                ..error
            },
            None => error,
        })
    }

    async fn run_proposal(&self, proposal: &mut PendingProposal) -> TanagerResult<ChangeEntry> {
        let mut caught_up = false;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                let factor = rand::rng().random_range(0.5..1.5) * f64::from(attempt);
                time::sleep(RETRY_PAUSE.mul_f64(factor)).await;
            }
            // Read the log before a refusal, which must be based on the newest state.
            let checked = check_change(&self.state(), &proposal.change, &proposal.context);
            if self.status().head.version != self.state().version
                || attempt > 0
                || checked.is_err() && !caught_up
            {
                self.catch_up().await?;
                caught_up = true;
            }
            if let Some(entry) = self.find_accepted(proposal).await? {
                return Ok(entry);
            }
            let state = self.state();
            let checked = check_change(&state, &proposal.change, &proposal.context)
                .and_then(|()| self.check_removals(&state, &proposal.change));
            if let Err(error) = checked {
                return Err(self.add_conflict_author(error, &proposal.change).await);
            }
            let head = self.status().head;
            if head.version != state.version {
                // Entries from a peer are newer than the `head` that was read; read it again.
                continue;
            }
            let change = logged_change(&state, &proposal.change);
            if let Some(entry) = self.try_append(proposal, change, head).await? {
                return Ok(entry);
            }
            self.status().counters.conflicts += 1;
        }
        Err(TanagerError::new(
            ErrorKind::Conflict,
            "propose",
            proposal.change.kind(),
            format!("lost {MAX_ATTEMPTS} attempts to concurrent proposals"),
        ))
    }

    /// Refuses to remove a draining VM on which a registered node may still have work.
    fn check_removals(&self, state: &FleetState, change: &FleetChange) -> TanagerResult<()> {
        let is_kept = |vm: &VmId| match change {
            FleetChange::Configure { document } => document.vms.contains_key(vm),
            FleetChange::Amend { patch } => !patch.removed_vms.contains(vm),
            _ => true,
        };
        for (vm, record) in &state.vms {
            let draining = matches!(record.activity, VmActivity::Draining { .. });
            if draining && !is_kept(vm) && !self.is_drained(vm) {
                return Err(TanagerError::new(
                    ErrorKind::Refused,
                    "check",
                    vm.clone(),
                    "the VM cannot be removed: it is not drained yet",
                ));
            }
        }
        Ok(())
    }

    /// Tries to append the entry after `head`. Returns `None` when the proposal must be retried,
    /// because nothing was written or the result is unknown.
    async fn try_append(
        &self,
        proposal: &mut PendingProposal,
        change: FleetChange,
        head: HeadRow,
    ) -> TanagerResult<Option<ChangeEntry>> {
        let entry = ChangeEntry {
            version: head.version + 1,
            author: proposal.author.clone(),
            token: proposal.token.clone(),
            change,
        };
        let transaction = entry_transaction(&entry, head)?;
        match self.backend.platform.transact(&transaction).await {
            Ok(TransactionResult::Committed(versions)) => {
                let row_version = versions.first().copied().unwrap_or(0);
                self.apply_accepted(&entry, Some(row_version))?;
                Ok(Some(entry))
            }
            Ok(TransactionResult::Conflict(_)) => Ok(None),
            Err(error) if matches!(error.kind, ErrorKind::Unknown | ErrorKind::Timeout) => {
                self.status().counters.lost_responses += 1;
                proposal.unconfirmed = Some(entry.clone());
                self.resolve_lost_response(proposal, entry, error).await
            }
            Err(error) => {
                self.record_store_result(error.kind == ErrorKind::NotSent);
                Err(error)
            }
        }
    }

    /// Reads the log to find out whether a transaction without a response was committed.
    async fn resolve_lost_response(
        &self,
        proposal: &mut PendingProposal,
        entry: ChangeEntry,
        transaction_error: TanagerError,
    ) -> TanagerResult<Option<ChangeEntry>> {
        for attempt in 1..=MAX_RESOLVE_READS {
            time::sleep(RETRY_PAUSE * attempt).await;
            match self.read_entry(entry.version).await {
                Ok(Some(found)) if found.token == entry.token => {
                    proposal.unconfirmed = None;
                    self.apply_accepted(&entry, None)?;
                    return Ok(Some(entry));
                }
                Ok(Some(_)) => {
                    proposal.unconfirmed = None;
                    return Ok(None);
                }
                // The write may still be in transit. The next attempt repeats it with the same
                // version and token, and the conditions ensure that at most one takes effect.
                Ok(None) => return Ok(None),
                Err(_) => {}
            }
        }
        self.record_store_result(true);
        Err(transaction_error)
    }

    /// Returns the entry of an earlier attempt if it was accepted although its response was lost.
    async fn find_accepted(
        &self,
        proposal: &mut PendingProposal,
    ) -> TanagerResult<Option<ChangeEntry>> {
        let Some(entry) = proposal.unconfirmed.clone() else {
            return Ok(None);
        };
        let version = entry.version;
        if self.state().version < version {
            return Ok(None);
        }
        let retained_token = lock(&self.log).token(version).map(str::to_owned);
        let token = match retained_token {
            Some(token) => Some(token),
            None => match self.read_entry(version).await? {
                Some(found) => Some(found.token),
                // The entry was deleted after a snapshot; another attempt could apply the change
                // twice.
                None => {
                    let message = "the entry is no longer in the log";
                    let key = log_key(version);
                    return Err(TanagerError::new(
                        ErrorKind::Unknown,
                        "resolve",
                        key,
                        message,
                    ));
                }
            },
        };
        proposal.unconfirmed = None;
        Ok((token.as_ref() == Some(&entry.token)).then_some(entry))
    }

    fn apply_accepted(&self, entry: &ChangeEntry, row_version: Option<u64>) -> TanagerResult<()> {
        self.record_store_result(false);
        if let Some(row_version) = row_version {
            let version = entry.version;
            self.update_head(HeadRow {
                version,
                row_version,
            });
        }
        self.apply(std::slice::from_ref(entry))
    }

    /// Adds the author of the conflicting entry to a conflict error. The error of a configuration
    /// change already names its author, which the state contains.
    async fn add_conflict_author(&self, error: TanagerError, change: &FleetChange) -> TanagerError {
        let version = record_version(&self.state(), change);
        if error.kind != ErrorKind::Conflict
            || version == 0
            || matches!(
                change,
                FleetChange::Configure { .. } | FleetChange::Amend { .. }
            )
        {
            return error;
        }
        let retained_author = lock(&self.log).author(version).map(str::to_owned);
        let author = match retained_author {
            Some(author) => Some(author),
            None => {
                let entry = self.read_entry(version).await;
                entry.ok().flatten().map(|entry| entry.author)
            }
        };
        match author {
            Some(author) => TanagerError {
                message: format!("{} by {author}", error.message),
                ..error
            },
            None => error,
        }
    }
}

/// Converts a change that is valid in `state` to the form written to the log: a document becomes a
/// patch of the document in force, because a document of the design size takes up to 2.1 MB. The
/// first document, and one whose patch would exceed [`MAX_PATCH_OBJECTS`], is written whole.
fn logged_change(state: &FleetState, change: &FleetChange) -> FleetChange {
    let FleetChange::Configure { document } = change else {
        return change.clone();
    };
    let patch = ConfigPatch::between(&state.document, document);
    if state.configured_version == 0 || patch.object_count() > MAX_PATCH_OBJECTS {
        return change.clone();
    }
    FleetChange::Amend { patch }
}

fn entry_transaction(entry: &ChangeEntry, head: HeadRow) -> TanagerResult<TableTransaction> {
    let value = serde_json::to_value(entry)
        .map_err(|error| TanagerError::new(ErrorKind::Internal, "encode", "entry", error))?;
    let condition = |key: &str, version| RowCondition {
        key: key.to_owned(),
        version,
    };
    let write = |key: &str, value| RowWrite {
        key: key.to_owned(),
        value: Some(value),
    };
    let key = log_key(entry.version);
    Ok(TableTransaction {
        conditions: vec![condition(HEAD_KEY, head.row_version), condition(&key, 0)],
        writes: vec![write(HEAD_KEY, entry.version.into()), write(&key, value)],
    })
}
