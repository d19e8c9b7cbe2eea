//! Gateway daemon: callers, targets and announcements.
