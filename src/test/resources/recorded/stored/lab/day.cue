name: "small"
seed: 5
lasts: 4s
zones: ["north", "south"]
kinds: [{name: "usual", cores: 2, speed: 1, slots: 6, room: 12, part: 100%}]
products: [
	{name: "read", part: 75%, work: 50ms, sla: 400ms, expiry: 2s, revenue: 1, retry: "safe"},
	{name: "sign", part: 25%, work: 50ms, sla: 400ms, expiry: 2s, revenue: 2, retry: "once"},
]
replicas: {count: 4}
proxies: {count: 4, devices: 25%}
governors: {count: 2}
clients: {}
roster: {}
rules: {}
txns: 50/s
troubles: [{at: 1s, what: "slow", part: 25%, size: 6, lasts: 2s}, {at: 2s, what: "crash", part: 25%, lasts: 1s}]
