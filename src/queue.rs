//! Order of waiting work between organisations and classes.
