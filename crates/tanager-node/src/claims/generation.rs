//! Generations of claims. A claim is retained for the rest of its generation and all of the next.

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use tanager_platform::PlatformClient;
use tanager_platform::RowCondition;
use tanager_platform::RowVersion;
use tanager_platform::RowWrite;
use tanager_platform::TableTransaction;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;

/// Key of the row with the current generation; absent during generation 0.
pub const GENERATION_KEY: &str = "claim-generation";
/// Key prefix of claim rows.
pub(super) const ROW_PREFIX: &str = "claim/";

/// The current generation, as read from the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ClaimGeneration {
    /// Number of the generation.
    pub(super) number: u64,
    /// Version of its row; 0 if the row is absent.
    pub(super) version: RowVersion,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerationRow {
    generation: u64,
}

impl ClaimGeneration {
    pub(super) async fn read(platform: &PlatformClient) -> TanagerResult<Self> {
        let Some(row) = platform.read(GENERATION_KEY).await? else {
            return Ok(Self::default());
        };
        let value: GenerationRow = serde_json::from_value(row.value).map_err(|error| {
            TanagerError::new(ErrorKind::Internal, "decode", GENERATION_KEY, error)
        })?;
        Ok(Self {
            number: value.generation,
            version: row.version,
        })
    }

    /// Returns the condition that this generation is still current.
    pub(super) fn condition(self) -> RowCondition {
        RowCondition {
            key: GENERATION_KEY.to_owned(),
            version: self.version,
        }
    }

    /// Returns the transaction that starts the next generation if this one is still current.
    pub(super) fn advance(self) -> TableTransaction {
        let value = json!({ "generation": self.number + 1 });
        let write = RowWrite {
            key: GENERATION_KEY.to_owned(),
            value: Some(value),
        };
        TableTransaction {
            conditions: vec![self.condition()],
            writes: vec![write],
        }
    }
}

/// Returns the key of a claim row. The zero-padded generation makes keys sort by its number.
pub(super) fn row_key(generation: u64, name: &str) -> String {
    format!("{ROW_PREFIX}{generation:08}/{name}")
}

/// Parses the generation from a row key; `None` if the key is not that of a claim row.
pub(super) fn row_generation(row_key: &str) -> Option<u64> {
    let (generation, _) = row_key.strip_prefix(ROW_PREFIX)?.split_once('/')?;
    generation.parse().ok().filter(|_| generation.len() >= 8)
}
