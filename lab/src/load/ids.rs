//! Unique identifiers for idempotency keys.

/// Returns a UUIDv7 (RFC 9562) with this timestamp, in milliseconds since the Unix epoch.
pub fn uuid_v7(unix_ms: u64, random: u128) -> String {
    let time = u128::from(unix_ms) << 80;
    let low = random & !(0xffff_ffff_ffff_u128 << 80);
    let versioned = (time | low) & !(0xf_u128 << 76) | (7 << 76);
    let bits = versioned & !(3_u128 << 62) | (2 << 62);
    let hex = format!("{bits:032x}");
    let parts = [
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..],
    ];
    parts.join("-")
}
