//! The `laburnumquay` program: a thin shell over the library.

fn main() {}
