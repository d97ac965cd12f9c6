reports: every: 1s
