//! Membership, ownership, journal, configuration versions and penalties, as pure decisions.
