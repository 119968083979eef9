//! Placeholder for unit tests; the registry is exercised by the tests of `watch` and `cookie`.
