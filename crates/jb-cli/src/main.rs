//! placeholder
fn main() {}
