// Experiments in virtual time. Each scenario is run with each setting and each seed.

#Setting: {
	name: string
	with?: string // file of records that override fields of each governor's configuration
	policy: "GOVERNORS" | "EVEN" | "HANDS_OFF" | "INVERSE" | "SEEING" | *"GOVERNORS"
}

// A search for the faults with which a setting loses most in comparison with another setting.
#Search: {
	setting: string
	against: string
	tries: int & >=1 & <=100000 | *60
	troubles: int & >=1 & <=20 | *5 // greatest number of faults in each scenario that is drawn
	kinds: [...string] // kinds of faults that may be drawn
	part: share & >0 & <=1 | *40% // greatest share of members that a fault affects
	size: number & >=0 | *4 // greatest severity of a fault
	lasts: time & >=1s | *20s // longest duration of a fault
}

#Experiment: {
	name: string
	days: [...string] // files of scenarios
	settings: [...#Setting] // the first setting is the one that the others are compared with
	seeds: [...int]
	seconds: time & >=0 | *0s // time that each scenario runs for; 0s: its whole duration
	search?: #Search
}
