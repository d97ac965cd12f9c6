// A small site without sharing: 8 replicas, 6 proxies, one governor that is killed and started again, and a burst past what replicas can do.

name: "small"
seed: 1
lasts: 24s
zones: ["north", "south"]
kinds: [
	{name: "usual", cores: 4, speed: 1.0, slots: 12, room: 24, part: 60%},
	{name: "slow", cores: 4, speed: 0.5, slots: 12, room: 24, part: 40%},
]
products: [
	{name: "read", part: 75%, work: 60ms, sla: 500ms, expiry: 2s, revenue: 1, retry: "safe"},
	{name: "sign", part: 25%, work: 60ms, sla: 500ms, expiry: 2s, revenue: 2, retry: "once"},
]
replicas: {count: 8, warmAfter: 6s}
proxies: {count: 6, stateOfTheWorld: 50%}
governors: {count: 1, messages: 60}
txns: 240/s
clients: {}
roster: {}
rules: {grace: 4s, bare: 6s}

troubles: [
	{at: 2s, what: "crash", part: 25%, lasts: 4s},
	{at: 6s, what: "slow", part: 25%, size: 4, lasts: 5s},
	{at: 9s, what: "governorCrash", part: 100%, lasts: 1s},
	{at: 13s, what: "burst", size: 3, lasts: 4s},
	{at: 15s, what: "proxyCrash", part: 20%, lasts: 1s},
	{at: 18s, what: "shrink", part: 12%, lasts: 2s},
	{at: 20s, what: "listGone"},
]
