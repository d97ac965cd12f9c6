// A day without faults on the loopback interface: three zones, 24 endpoints, 48 proxies, three governors.

name: "calm-day"
seed: 7
lasts: 60s
zones: ["north", "middle", "south"]
kinds: [
	{name: "fast", cores: 8, speed: 1.2, slots: 24, room: 48, part: 40%},
	{name: "usual", cores: 8, speed: 1.0, slots: 24, room: 48, part: 35%},
	{name: "slow", cores: 8, speed: 0.6, slots: 24, room: 48, part: 25%},
]
products: [
	{name: "read", part: 75%, work: 120ms, sla: 750ms, expiry: 2s, revenue: 1, retry: "safe"},
	{name: "sign", part: 25%, work: 100ms, sla: 800ms, expiry: 2s, revenue: 2, retry: "once"},
]
replicas: {count: 24, coldFrom: 25%, warmAfter: 12s, connections: 400}
proxies: {count: 48, pick: "two"}
governors: {count: 3, lines: 6000/s, head: 6, most: 9000, messages: 40, span: 10s}
txns: 1100/s
clients: {}
roster: {notices: 2s, adds: 500ms}
rules: {grace: 4s, bare: 6s, tip: 3, fall: 2s}

troubles: []
