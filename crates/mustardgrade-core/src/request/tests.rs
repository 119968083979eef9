//! Tests of requests.
