reports: every: 4s
