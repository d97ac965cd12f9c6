channel: lines: 300/s
