//! Clients of the platform's table, object store, instance list, workers and endpoints.
