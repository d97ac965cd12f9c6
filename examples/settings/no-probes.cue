probes: allowed: false
