//! Tests of the registry.
