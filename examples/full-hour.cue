// An hour with a fleet of full size, for the emulator: 97 endpoints, 209 proxies, 1,100 requests per second.

name: "full-hour"
seed: 11
lasts: 3600s
zones: ["north", "middle", "south"]
kinds: [
	{name: "fast", cores: 4, speed: 1.2, slots: 12, room: 24, part: 40%},
	{name: "usual", cores: 4, speed: 1.0, slots: 12, room: 24, part: 35%},
	{name: "slow", cores: 4, speed: 0.6, slots: 12, room: 24, part: 25%},
]
products: [
	{name: "read", part: 75%, work: 200ms, sla: 1200ms, expiry: 3s, revenue: 1, retry: "safe"},
	{name: "sign", part: 25%, work: 180ms, sla: 1200ms, expiry: 3s, revenue: 2, retry: "once"},
]
replicas: {count: 97, coldFrom: 25%, warmAfter: 12s, connections: 400}
proxies: {count: 209, pick: "two"}
governors: {count: 3, lines: 6000/s, head: 6, most: 9000, messages: 40, span: 10s}
txns: 1100/s
clients: {}
roster: {notices: 2s, adds: 500ms}
rules: {grace: 4s, bare: 6s, tip: 3, fall: 2s}

troubles: [
	{at: 120s, what: "crash", part: 10%, lasts: 30s},
	{at: 400s, what: "neighbour", part: 20%, size: 0.5, lasts: 300s},
	{at: 900s, what: "zoneCut", zone: "south", lasts: 20s},
	{at: 1200s, what: "governorCrash", part: 33%, lasts: 10s},
	{at: 1500s, what: "slow", part: 15%, size: 4, lasts: 120s},
	{at: 1900s, what: "burst", size: 1.4, lasts: 60s},
	{at: 2400s, what: "zoneLoss", zone: "north", lasts: 60s},
	{at: 3000s, what: "shrink", part: 10%, lasts: 30s},
]
