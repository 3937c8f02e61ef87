//! Encoding of numeric identifiers as JSON numbers.

use serde::{Deserialize, Deserializer, Serializer};
use sycamorerill_core::id::{Attempt, Epoch};

/// An identifier that consists of one number.
pub trait NumericId: Copy {
    /// Creates the identifier from its number.
    fn from_number(number: u64) -> Self;

    /// Returns the number of the identifier.
    fn number(self) -> u64;
}

impl NumericId for Epoch {
    fn from_number(number: u64) -> Self {
        Self(number)
    }

    fn number(self) -> u64 {
        self.0
    }
}

impl NumericId for Attempt {
    fn from_number(number: u64) -> Self {
        Self(number)
    }

    fn number(self) -> u64 {
        self.0
    }
}

/// Serializes an identifier as a number.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<N: NumericId, S: Serializer>(id: &N, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_u64(id.number())
}

/// Deserializes an identifier from a number.
///
/// # Errors
///
/// Returns the deserializer's error.
pub fn deserialize<'de, N: NumericId, D: Deserializer<'de>>(from: D) -> Result<N, D::Error> {
    u64::deserialize(from).map(N::from_number)
}
