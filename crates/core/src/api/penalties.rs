//! Bodies for the penalties of a period.

use serde::{Deserialize, Serialize};

/// Response to `GET /v1/penalties`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Penalties {
    /// One row for each key with a miss, sorted by key.
    pub rows: Vec<Row>,
    /// Sum over all rows.
    pub total: Sum,
}

/// Misses and penalty of one target, team or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the target, team or service.
    pub key: String,
    /// Number of calls and jobs that missed their target.
    pub missed: u64,
    /// Penalty in hundredths of the currency in which penalties are agreed.
    pub penalty: u64,
}

/// Total misses and penalty of all rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// Number of calls and jobs that missed their target.
    pub missed: u64,
    /// Penalty in hundredths of the currency in which penalties are agreed.
    pub penalty: u64,
}

/// Attribute by which penalties are grouped into rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Grouping {
    /// One row for each target.
    #[default]
    Target,
    /// One row for each team.
    Team,
    /// One row for each service or class of jobs.
    Service,
}

/// Error of parsing a grouping from an unknown name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a grouping, expected target, team or service")]
pub struct GroupingError(pub String);

impl Grouping {
    /// Returns the name used on the command line and in queries.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Target => "target",
            Self::Team => "team",
            Self::Service => "service",
        }
    }
}

impl std::fmt::Display for Grouping {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.as_str())
    }
}

impl std::str::FromStr for Grouping {
    type Err = GroupingError;

    fn from_str(text: &str) -> Result<Self, GroupingError> {
        match text {
            "target" => Ok(Self::Target),
            "team" => Ok(Self::Team),
            "service" => Ok(Self::Service),
            _ => Err(GroupingError(text.to_owned())),
        }
    }
}
