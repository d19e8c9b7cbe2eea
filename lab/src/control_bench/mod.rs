//! Measures the cost of control traffic: bytes per second, processor time and memory, at three
//! sizes.
//!
//! Bytes are those of the encoded frames in the control world of the scenarios, with length prefix
//! and envelope, without TCP and IP headers. Processor time and memory are those of the core crate
//! alone.

mod cost;
mod traffic;

use std::fmt;

pub use cost::{Cost, Operation, cost};
pub use traffic::{Traffic, announcement_bytes, traffic};

/// Number of restarts and replacements on an ordinary day; the measurement has all of them in one
/// hour.
pub const RESTARTS_PER_HOUR: u32 = 73;

/// Number of configuration changes on an ordinary day.
pub const CHANGES_PER_DAY: u32 = 570;

/// Size of an installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of gateways.
    pub gateways: u32,
    /// Number of services, each with one record.
    pub services: u32,
    /// Number of targets of all services.
    pub targets: u32,
}

/// Measured sizes, from the larger of the current deployments to the design size.
pub const SIZES: [Size; 3] = [
    Size {
        gateways: 11,
        services: 3,
        targets: 35,
    },
    Size {
        gateways: 20,
        services: 80,
        targets: 600,
    },
    Size {
        gateways: 30,
        services: 160,
        targets: 1200,
    },
];

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Size {
            gateways,
            services,
            targets,
        } = self;
        write!(
            f,
            "{gateways} gateways, {services} services, {targets} targets"
        )
    }
}

/// Results at one size.
#[derive(Clone, Debug)]
pub struct Report {
    /// Size of the installation.
    pub size: Size,
    /// Bytes on the network.
    pub traffic: Traffic,
    /// Processor time and memory.
    pub cost: Cost,
}

/// Measures traffic and cost at one size. Traffic depends only on size and seed; cost also depends
/// on the machine.
pub fn run(size: Size, seed: u64) -> Report {
    Report {
        size,
        traffic: traffic(size, seed),
        cost: cost(size),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.size)?;
        write!(f, "{}{}", self.traffic, self.cost)
    }
}
