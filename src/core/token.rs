//! Fencing tokens.
//!
//! A token orders the tables of one cell. The epoch is incremented when a
//! planner takes over, the version with every change of the table. Endpoints
//! reject orders whose token is lower than the highest that they have seen.

use std::fmt;

key! {
    /// Position of a table among all tables of its cell.
    #[derive(Default)]
    pub struct Token {
        /// Incremented when another planner takes over.
        pub epoch: u64,
        /// Incremented with every change of the table.
        pub version: u64,
    }
}

impl Token {
    /// Returns the token of the next change under the same planner.
    pub fn next_version(self) -> Self {
        Self {
            epoch: self.epoch,
            version: self.version + 1,
        }
    }

    /// Returns the token of the first change of a new planner.
    pub fn next_epoch(self) -> Self {
        Self {
            epoch: self.epoch + 1,
            version: self.version + 1,
        }
    }

    /// Parses the output of [`fmt::Display`].
    pub fn parse(text: &str) -> Option<Self> {
        let (epoch, version) = text.split_once('.')?;
        Some(Self {
            epoch: epoch.parse().ok()?,
            version: version.parse().ok()?,
        })
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.version)
    }
}
