// A comparison of settings in virtual time, with the scenarios bad-day.cue and neighbour-day.cue.

name: "settings"
days: ["bad-day.cue", "neighbour-day.cue"]
seeds: [1, 2, 3, 4, 5, 6, 7, 8]
settings: [
	{name: "as it is"},
	{name: "reports each 250 ms", with: "settings/reports-250ms.cue"},
	{name: "reports each 4 s", with: "settings/reports-4s.cue"},
	{name: "a channel of 300 lines a second", with: "settings/narrow.cue"},
	{name: "8 messages in 10 s", with: "settings/few-messages.cue"},
	{name: "no probes", with: "settings/no-probes.cue"},
	{name: "even tables", policy: "EVEN"},
	{name: "hands off", policy: "HANDS_OFF"},
	{name: "inverse load each second", policy: "INVERSE"},
	{name: "sees the true state", policy: "SEEING"},
]
search: {setting: "as it is", against: "even tables", tries: 100, kinds: ["crash", "slow", "neighbour", "errors", "zoneCut", "burst", "governorPause", "hang"]}
