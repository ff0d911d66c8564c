//! placeholder
