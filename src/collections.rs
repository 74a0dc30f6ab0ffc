//! Hash collections with a fast hasher.
//!
//! Keys that a caller chooses are length-bounded before they get here, and the
//! number of entries is bounded by the catalogue or by a limit, so the lack of
//! a keyed hash costs at most a slow bucket.

/// A hash map with the crate's fast hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the crate's fast hasher.
pub type HashSet<T> = rustc_hash::FxHashSet<T>;
