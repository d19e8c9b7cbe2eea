//! Replicated groups over a fake network and fake disks.
