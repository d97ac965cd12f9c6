// A day with many faults on the loopback interface: three zones, 24 endpoints, 48 proxies, three governors.

name: "bad-day"
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

troubles: [
	{at: 4s, what: "crash", part: 17%, lasts: 8s},
	{at: 6s, what: "lateAck", part: 10%, size: 2, lasts: 6s},
	{at: 9s, what: "midUpdate", size: 700},
	{at: 11s, what: "reject", part: 8%, size: 1},
	{at: 14s, what: "zoneCut", zone: "south", lasts: 7s},
	{at: 24s, what: "governorCrash", part: 33%, lasts: 3s},
	{at: 27s, what: "slow", part: 15%, size: 4, lasts: 10s},
	{at: 30s, what: "lateList", size: 2, lasts: 10s},
	{at: 33s, what: "governorPause", part: 33%, lasts: 4s},
	{at: 38s, what: "readsNothing", part: 6%, lasts: 8s},
	{at: 40s, what: "crash", part: 12%, lasts: 5s},
	{at: 42s, what: "wrongList", part: 10%, lasts: 5s},
	{at: 46s, what: "shrink", part: 8%, lasts: 6s},
	{at: 49s, what: "errors", part: 10%, size: 0.6, lasts: 6s},
	{at: 52s, what: "burst", size: 1.3, lasts: 4s},
]
