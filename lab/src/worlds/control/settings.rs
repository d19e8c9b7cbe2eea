//! Settings of the world, with a switch for each mechanism. A script sets them by key.

use std::time;

use wagtailshunt_core::lease;

use crate::scenario;

/// Settings of the world; the documentation of the parent module lists the keys.
#[derive(Clone, Debug)]
pub struct Settings {
    pub gateways: u32,
    pub regions: u32,
    pub services: u32,
    pub targets: u32,
    pub delay: time::Duration,
    pub jitter: time::Duration,
    pub loss_permille: u32,
    pub duplicate_permille: u32,
    pub skew_permille: u32,
    pub lease: lease::Config,
    pub leases: bool,
    pub new_leader_wait: bool,
    pub rebuild: bool,
    pub digests: bool,
    pub behind_check: bool,
    pub view_check: bool,
    pub request_ids: bool,
    pub compare_and_set: bool,
    pub schema_check: bool,
    pub target_incarnations: bool,
    pub final_drain: bool,
    /// Whether gateways pick targets and the checker runs after each event; off in benchmarks.
    pub check_invariants: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            gateways: 5,
            regions: 1,
            services: 2,
            targets: 10,
            delay: time::Duration::from_millis(5),
            jitter: time::Duration::ZERO,
            loss_permille: 0,
            duplicate_permille: 0,
            skew_permille: 5,
            lease: lease::Config::default(),
            leases: true,
            new_leader_wait: true,
            rebuild: true,
            digests: true,
            behind_check: true,
            view_check: true,
            request_ids: true,
            compare_and_set: true,
            schema_check: true,
            target_incarnations: true,
            final_drain: true,
            check_invariants: true,
        }
    }
}

impl Settings {
    /// Applies one setting of a script.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is unknown or the value has the wrong type.
    pub fn set(&mut self, key: &str, value: &scenario::Arg) -> Result<(), scenario::WorldError> {
        let number = || value.as_u64().map(|number| number as u32);
        match key {
            "gateways" => self.gateways = number()?,
            "regions" => self.regions = number()?.max(1),
            "services" => self.services = number()?,
            "targets" => self.targets = number()?,
            "delay" => self.delay = value.as_duration()?,
            "jitter" => self.jitter = value.as_duration()?,
            "loss_permille" => self.loss_permille = number()?,
            "double_permille" => self.duplicate_permille = number()?,
            "skew_permille" => self.skew_permille = number()?,
            "lease" => self.lease.length = value.as_duration()?,
            "renew_every" => self.lease.renew_every = value.as_duration()?,
            "leases" => self.leases = value.as_bool()?,
            "clock_margin_permille" => self.lease.clock_margin_permille = number()?,
            "behind_grace" => self.lease.behind_grace = value.as_duration()?,
            "new_leader_wait" => self.new_leader_wait = value.as_bool()?,
            "rebuild" => self.rebuild = value.as_bool()?,
            "behind_check" => self.behind_check = value.as_bool()?,
            "view_check" => self.view_check = value.as_bool()?,
            "digests" => self.digests = value.as_bool()?,
            "request_ids" => self.request_ids = value.as_bool()?,
            "compare_and_set" => self.compare_and_set = value.as_bool()?,
            "schema_check" => self.schema_check = value.as_bool()?,
            "target_incarnations" => self.target_incarnations = value.as_bool()?,
            "final_drain" => self.final_drain = value.as_bool()?,
            _ => return Err(scenario::WorldError::UnknownSetting(key.to_owned())),
        }
        Ok(())
    }
}
