//! The experiment: every policy on the same trace, in one run.

mod row;
mod run;

pub use row::{Row, print_head, print_row};
pub use run::{Case, cases, run};
