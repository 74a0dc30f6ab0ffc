//! The catalogue of organisations, pools and routes. Operators change it, and
//! every instance follows it.

mod change;
mod entry;
mod machine;
mod view;

pub use change::{Change, Expect, Operation, Outcome};
pub use entry::{Class, Entry, EntryKey, Kind, Limits, Organisation, Pool, Route, Target};
pub use machine::PastChange;
pub(crate) use machine::{CatalogueHandle, CatalogueMachine, CatalogueState, Feed};
pub(crate) use view::digest;
pub use view::{Catalogue, Listing, Record};
