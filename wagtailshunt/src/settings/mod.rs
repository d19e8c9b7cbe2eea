//! Settings files: JSON with comments, checked before anything starts.
