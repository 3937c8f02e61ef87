//! The table: versioned rows that are written by transactions.

use std::collections::BTreeMap;

use sycamorerill_clients::table::{
    Committed, Condition, Conflict, Expect, Key, Row, RowVersion, ScanPage, ScanRequest,
    Transaction,
};

/// Rows by key.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<Key, Row>,
    last: RowVersion,
}

impl Table {
    /// Applies all writes of a transaction, or none if a condition does not hold.
    pub(crate) fn transact(&mut self, transaction: Transaction) -> Result<Committed, Conflict> {
        if let Some(failed) = transaction.conditions.iter().find(|c| !self.holds(c)) {
            let present = self.rows.get(&failed.key).cloned();
            return Err(Conflict { key: failed.key.clone(), present });
        }
        let mut versions = BTreeMap::new();
        for write in transaction.writes {
            let Some(value) = write.value else {
                self.rows.remove(&write.key);
                continue;
            };
            self.last = RowVersion(self.last.0 + 1);
            versions.insert(write.key.clone(), self.last);
            let identity = transaction.identity.clone();
            let row = Row { key: write.key.clone(), version: self.last, identity, value };
            self.rows.insert(write.key, row);
        }
        Ok(Committed { versions })
    }

    /// Returns the row with the key.
    pub(crate) fn row(&self, key: &Key) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns a page of the rows whose keys begin with the prefix, in the order of the keys.
    pub(crate) fn scan(&self, request: &ScanRequest) -> ScanPage {
        let prefix = request.prefix.as_str();
        let start = request.after.clone().unwrap_or_else(|| request.prefix.clone());
        let start = start.max(request.prefix.clone());
        let after = request.after.as_ref();
        let mut found = self
            .rows
            .range(start..)
            .map(|(_, row)| row)
            .filter(|row| Some(&row.key) != after)
            .take_while(|row| row.key.as_str().starts_with(prefix));
        let rows = found.by_ref().take(request.limit).cloned().collect();
        ScanPage { rows, more: found.next().is_some() }
    }

    fn holds(&self, condition: &Condition) -> bool {
        let present = self.rows.get(&condition.key).map(|row| row.version);
        match condition.expect {
            Expect::Absent => present.is_none(),
            Expect::Version(version) => present == Some(version),
        }
    }
}
