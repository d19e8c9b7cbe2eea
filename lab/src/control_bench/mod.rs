//! What control costs: bytes per second, processor time and memory, at three sizes.
//!
//! Bytes are counted on encoded frames of the control world, with length prefix and envelope and
//! without TCP and IP headers. Processor time and memory are those of the core alone.

mod cost;
mod traffic;

use std::fmt;

pub use cost::{Cost, Operation, cost};
pub use traffic::{Traffic, announcement_bytes, traffic};

/// Restarts and replacements on an ordinary day, here packed into one hour.
pub const RESTARTS_PER_HOUR: u32 = 73;

/// Changes on an ordinary day.
pub const CHANGES_PER_DAY: u32 = 570;

/// Size of an installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Gateways.
    pub gateways: u32,
    /// Services, each with one record.
    pub services: u32,
    /// Targets of all services.
    pub targets: u32,
}

/// Sizes from today's larger user to the size to design for.
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

/// Measurements at one size.
#[derive(Clone, Debug)]
pub struct Report {
    /// The size.
    pub size: Size,
    /// Bytes on the wire.
    pub traffic: Traffic,
    /// Processor time and memory.
    pub cost: Cost,
}

/// Measures at one size. Traffic depends on size and seed only, cost on the machine as well.
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
