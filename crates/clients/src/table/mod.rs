//! The platform's transactional table.

mod client;
mod row;
mod transaction;

pub use client::{Client, RowRequest, ScanPage, ScanRequest};
pub use row::{Key, Row, RowVersion};
pub use transaction::{Committed, Condition, Conflict, Expect, Transaction, TransactionId, Write};
