reports: every: 250ms
