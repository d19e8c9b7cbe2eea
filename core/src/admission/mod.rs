//! Bounded queues, fair shares and load shedding.
