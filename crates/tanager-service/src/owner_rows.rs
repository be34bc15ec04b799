//! Applies owner rows of cells to this node's view.

use tanager_jobs::record::decode_record;
use tanager_site::store::RowVersion;

use crate::context::NodeContext;
use crate::records::CELL_TABLE;
use crate::records::OwnerRecord;

/// Decodes an owner row and applies it to the view.
pub(crate) fn apply_owner_row(
    context: &NodeContext,
    cell: &str,
    value: &[u8],
    version: RowVersion,
) {
    match decode_record::<OwnerRecord>(cell, value) {
        Ok(record) => {
            context.skipped_rows.forget(CELL_TABLE, cell);
            context.view().apply_owner(cell, record, version);
        }
        Err(error) => {
            context.skip_row(CELL_TABLE, cell, version, &error.to_string());
            context.view().apply_unreadable_owner(cell, version);
        }
    }
}
