//! Tests of flow routing.
