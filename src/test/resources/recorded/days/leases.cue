// Three governors that share 30 proxies by leases, half of them devices: each is killed, paused, stopped or cut off in turn, and started again.

name: "leases"
seed: 1
lasts: 30s
zones: ["north", "middle", "south"]
kinds: [
	{name: "usual", cores: 4, speed: 1.0, slots: 12, room: 24, part: 70%},
	{name: "slow", cores: 4, speed: 0.6, slots: 12, room: 24, part: 30%},
]
products: [
	{name: "read", part: 75%, work: 80ms, sla: 750ms, expiry: 2s, revenue: 1, retry: "safe"},
	{name: "sign", part: 25%, work: 80ms, sla: 800ms, expiry: 2s, revenue: 2, retry: "once"},
]
replicas: {count: 15, coldFrom: 25%, warmAfter: 8s}
proxies: {count: 30, devices: 50%}
governors: {count: 3, lines: 6000/s, head: 6, most: 9000, messages: 60, span: 10s, shared: true, hints: true}
txns: 350/s
clients: {}
roster: {notices: 2s, adds: 500ms}
rules: {grace: 4s, bare: 6s}

troubles: [
	{at: 3s, what: "governorCrash", part: 33%, lasts: 4s},
	{at: 4s, what: "crash", part: 20%, lasts: 5s},
	{at: 9s, what: "governorPause", part: 33%, lasts: 4s},
	{at: 11s, what: "drift", part: 30%},
	{at: 14s, what: "governorStop", part: 33%, lasts: 4s},
	{at: 16s, what: "lockHeld", part: 30%, lasts: 2s},
	{at: 18s, what: "peersCut", part: 33%, lasts: 3s},
	{at: 20s, what: "peersLose", size: 0.3, lasts: 8s},
	{at: 21s, what: "governorCut", part: 33%, lasts: 3s},
	{at: 24s, what: "governorCrash", part: 100%, lasts: 1s},
	{at: 25s, what: "zoneCut", zone: "south", lasts: 3s},
]
