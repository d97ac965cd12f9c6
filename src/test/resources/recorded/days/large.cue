// A large site for a few seconds: 97 replicas, 209 proxies, three governors that share them.

name: "large"
seed: 1
lasts: 8s
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
replicas: {count: 97, coldFrom: 25%, warmAfter: 12s}
proxies: {count: 209, devices: 10%}
governors: {count: 3, lines: 6000/s, head: 6, most: 9000, messages: 40, span: 10s, shared: true, room: 209}
txns: 1100/s
clients: {}
roster: {notices: 2s, adds: 500ms}
rules: {grace: 4s, bare: 6s}

troubles: [
	{at: 1s, what: "crash", part: 10%, lasts: 3s},
	{at: 3s, what: "governorCrash", part: 33%, lasts: 2s},
	{at: 4s, what: "slow", part: 15%, size: 4, lasts: 3s},
]
