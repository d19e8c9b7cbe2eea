//! The clock of the runtime, behind one type.
