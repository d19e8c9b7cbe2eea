//! Life cycle of connections to targets and complete answers.
