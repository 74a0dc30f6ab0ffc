//! Hash collections with a fast hasher.
//!
//! The hasher isn't keyed, so callers could choose colliding keys. The damage is limited to slow
//! lookups: the length of such keys is bounded before they are inserted, and the number of
//! entries is bounded by the catalogue or by a limit.

/// Hash map with a fast, unkeyed hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, unkeyed hasher.
pub type HashSet<T> = rustc_hash::FxHashSet<T>;
