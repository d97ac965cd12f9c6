// Three governors share 48 proxies for ten minutes. Random faults kill, pause, stop or disconnect a governor, and zones are lost as well.

name: "handover"
seed: 11
lasts: 600s
zones: ["north", "middle", "south"]
kinds: [
	{name: "fast", cores: 8, speed: 1.2, slots: 24, room: 48, part: 40%},
	{name: "usual", cores: 8, speed: 1.0, slots: 24, room: 48, part: 35%},
	{name: "slow", cores: 8, speed: 0.6, slots: 24, room: 48, part: 25%},
]
products: [
	{name: "read", part: 75%, work: 80ms, sla: 750ms, expiry: 2s, revenue: 1, retry: "safe"},
	{name: "sign", part: 25%, work: 80ms, sla: 800ms, expiry: 2s, revenue: 2, retry: "once"},
]
replicas: {count: 24, coldFrom: 25%, warmAfter: 12s, connections: 400}
proxies: {count: 48, pick: "two", devices: 25%}
governors: {count: 3, lines: 6000/s, head: 6, most: 9000, messages: 60, span: 10s, shared: true}
txns: 1100/s
clients: {}
roster: {notices: 2s, adds: 500ms}
rules: {grace: 4s, bare: 6s, tip: 3, fall: 2s}

random: {every: 7s, from: 5s, until: 585s, lasts: 4s,
	what: ["governorCrash", "governorPause", "governorStop", "governorCut", "peersCut"]}

troubles: [
	{at: 15s, what: "crash", part: 12%, lasts: 6s},
	{at: 25s, what: "zoneLoss", zone: "middle", lasts: 12s},
	{at: 45s, what: "zoneCut", zone: "south", lasts: 6s},
	{at: 70s, what: "peersLose", size: 0.3, lasts: 30s},
	{at: 120s, what: "zoneLoss", zone: "north", lasts: 15s},
	{at: 180s, what: "shrink", part: 10%, lasts: 6s},
	{at: 240s, what: "lateAck", part: 10%, size: 2, lasts: 10s},
	{at: 300s, what: "zoneCut", zone: "middle", lasts: 8s},
	{at: 360s, what: "crash", part: 15%, lasts: 8s},
	{at: 420s, what: "zoneLoss", zone: "south", lasts: 15s},
	{at: 500s, what: "burst", size: 1.3, lasts: 5s},
]
