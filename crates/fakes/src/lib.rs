//! Small stand-ins for the platform, its workers and its endpoints.
