//! Comparison of all routing policies on the same traces in one run.

mod row;
mod run;

pub use row::{Row, print_head, print_row};
pub use run::{Case, cases, run};
