//! Tests of routing by cookie.
