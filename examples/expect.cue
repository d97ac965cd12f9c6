// Expectations of operators for the routing of the fleet in bad-day.cue.

name: "routing of the bad day's fleet"
day: "bad-day.cue"
expectations: [
	{name: "nothing goes to a draining node", events: [{what: "drains"}], expect: "noTraffic", within: 4s},
	{name: "nothing goes to a dead node once it is listed", events: [{what: "dies"}], expect: "noTraffic", within: 7s},
	{name: "no product without a line after a zone is lost", events: [{what: "zoneLost"}], expect: "aLine", within: 6s},
	{name: "no zone gets more than half", events: [], expect: "zonePart", atMost: 50%},
	{name: "weights follow speed", events: [], expect: "follows", atMost: 45%},
	{name: "a returning node comes in gently", events: [{what: "dies"}, {what: "returns", after: 10s}], expect: "gentle", atMost: 60%, within: 3s},
	{name: "all of sign is let in when a zone is lost", events: [{what: "zoneLost"}], product: "sign", expect: "letIn", atLeast: 95%, within: 8s},
]
search: {kinds: ["dies", "drains", "zoneLost"], depth: 2, most: 60}
