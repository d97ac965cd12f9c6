// A middling site without sharing: 30 replicas, 60 proxies, two governors, three products of which one is kept to one kind of replica, and the troubles that the examples leave out.

name: "medium"
seed: 1
lasts: 24s
zones: ["north", "middle", "south"]
kinds: [
	{name: "fast", cores: 8, speed: 1.2, slots: 24, room: 48, part: 40%},
	{name: "usual", cores: 4, speed: 1.0, slots: 12, room: 24, part: 35%},
	{name: "slow", cores: 4, speed: 0.6, slots: 12, room: 24, part: 25%},
]
products: [
	{name: "read", part: 60%, work: 90ms, sla: 600ms, expiry: 2s, revenue: 1, retry: "safe"},
	{name: "sign", part: 25%, work: 80ms, sla: 700ms, expiry: 2s, revenue: 2, retry: "once"},
	{name: "audit", part: 15%, work: 120ms, sla: 900ms, expiry: 3s, revenue: 0.5, retry: "safe", kinds: ["fast"]},
]
replicas: {count: 30, coldFrom: 25%, warmAfter: 8s, connections: 400}
proxies: {count: 60, pick: "weighted"}
governors: {count: 2, lines: 3000/s, head: 6, most: 5000, messages: 40, span: 10s}
txns: 900/s
clients: {}
roster: {notices: 2s, adds: 500ms}
rules: {grace: 4s, bare: 6s}

troubles: [
	{at: 1s, what: "hang", part: 10%, lasts: 4s},
	{at: 3s, what: "flapping", part: 10%, lasts: 9s},
	{at: 4s, what: "ageing", part: 10%, size: 5, lasts: 6s},
	{at: 5s, what: "oneSided", part: 20%, zone: "middle", lasts: 5s},
	{at: 6s, what: "governorStall", part: 50%, size: 1.5, lasts: 6s},
	{at: 8s, what: "connections", part: 15%, size: 4, lasts: 4s},
	{at: 9s, what: "pauses", part: 20%, lasts: 5s},
	{at: 11s, what: "alone", part: 10%, lasts: 3s},
	{at: 12s, what: "zoneLoss", zone: "north", lasts: 5s},
	{at: 15s, what: "governorCrash", part: 100%, lasts: 2s},
	{at: 18s, what: "errors", part: 20%, size: 0.7, lasts: 4s},
	{at: 19s, what: "burst", size: 1.6, lasts: 3s},
]
