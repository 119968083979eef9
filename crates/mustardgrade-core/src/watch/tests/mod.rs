//! Tests of the watch controller.
