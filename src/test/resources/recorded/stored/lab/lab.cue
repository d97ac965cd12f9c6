name: "two"
days: ["day.cue"]
seeds: [1, 2]
settings: [
	{name: "as it is"},
	{name: "slow reports", with: "slow.cue"},
	{name: "even", policy: "EVEN"},
	{name: "hands off", policy: "HANDS_OFF"},
	{name: "inverse", policy: "INVERSE"},
	{name: "seeing", policy: "SEEING"},
]
