//! Generations of claims: a claim is kept for the rest of its generation and the whole next one.

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

/// Row with the current generation; absent in the first one.
pub const GENERATION_KEY: &str = "claim-generation";
/// Prefix of the rows of claims.
pub(super) const ROW_PREFIX: &str = "claim/";

/// The current generation, as read from the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ClaimGeneration {
    /// Number of the generation.
    pub(super) number: u64,
    /// Version of its row; 0 when it is absent.
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

    /// Holds while this generation is the current one.
    pub(super) fn condition(self) -> RowCondition {
        RowCondition {
            key: GENERATION_KEY.to_owned(),
            version: self.version,
        }
    }

    /// Begins the next generation if this one is still current.
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

/// Key of the row of a claim. Generations sort by number.
pub(super) fn row_key(generation: u64, name: &str) -> String {
    format!("{ROW_PREFIX}{generation:08}/{name}")
}

/// Returns the generation of a row.
pub(super) fn row_generation(row_key: &str) -> Option<u64> {
    let (generation, _) = row_key.strip_prefix(ROW_PREFIX)?.split_once('/')?;
    generation.parse().ok().filter(|_| generation.len() >= 8)
}
