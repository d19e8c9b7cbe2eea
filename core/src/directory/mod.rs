//! Targets: announcements, vouching and spread of changes.
