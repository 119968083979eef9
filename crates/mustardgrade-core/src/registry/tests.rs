//! Unit tests of the registry; none so far, the tests of `watch` and `cookie` exercise it.
