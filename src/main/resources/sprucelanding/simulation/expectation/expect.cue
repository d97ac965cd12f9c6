// Expectations of operators for the routing. They are checked against the decisions of the governor, without traffic.

// An event. The field one is the position of an endpoint or the name of a zone; without it, each one is tried in turn.
#Event: {
	what: "dies" | "drains" | "returns" | "zoneLost" | "zoneReturns" | "busy" | "more" | "restarts"
	one?: string // not given with busy, returns or zoneReturns: the endpoints of the previous event
	after: time & >=0 & <=60s | *2s // time after the previous event, or after the start
	size: number & >0 | *1 // busy: the reported utilization; more: the factor of the request rate
}

#Expectation: {
	name: string
	events: [...#Event] // empty: the expectation is about the fleet without events
	product?: string // not given: each request class
	expect: "noTraffic" | "aLine" | "zonePart" | "follows" | "gentle" | "letIn"
	zone?: string // used by zonePart; not given: each zone
	atMost: number & >=0 | share | *1000
	atLeast: number & >=0 | share | *0
	within: time & >=0 & <=60s | *4s // time after the last event; the condition must hold from then on (gentle: until then)
	holds: time & >=500ms & <=60s | *6s
}

// A search over sequences of up to depth failures that no expectation names. The general expectations are checked for each sequence.
#Search: {
	kinds: [...("dies" | "drains" | "zoneLost")]
	depth: int & >=1 & <=3 | *2
	apart: time & >=0 & <=60s | *4s
	most: int & >=1 & <=100000 | *2000 // limit of sequences; if there are more, they are drawn with equal probability
}

#Expectations: {
	name: string
	day: string // file of a scenario, whose fleet, request classes and rules are used
	expectations: [...#Expectation]
	search?: #Search
}
