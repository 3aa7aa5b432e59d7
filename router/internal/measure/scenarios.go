package measure

import (
	"time"

	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
)

const (
	defaultRouters        = 9
	defaultReportDelay    = time.Second
	burstStart            = 30 * time.Second
	burstEnd              = 2 * time.Minute
	burstScenarioDuration = 150 * time.Second
)

// Scenarios returns the scenarios in which policies are compared.
func Scenarios() []Scenario {
	list := []Scenario{ordinaryDay(), checkInRush("check-in rush"), sowingBurst()}
	list = append(list, classFlood(), teamFlood(), straggler(), crashInRush(), lateReports(), lostRouter())
	list = append(list, presetSwitch(), hundredRouters(), sharedDrafts())
	return append(list, lendingScenarios()...)
}

// ordinaryDay is a day without bursts, at about 60% of the capacity.
func ordinaryDay() Scenario {
	return Scenario{
		Name: "ordinary day", Routers: defaultRouters, ReportDelay: defaultReportDelay, Duration: 2 * time.Minute, LowestClass: ticketClass,
		Streams: append(hotelStreams(1, 0, 0), farmStreams(0, 0)...),
	}
}

// checkInRush is Kilele's check-in: three times the capacity for 90 seconds.
func checkInRush(name string) Scenario {
	return Scenario{
		Name: name, Routers: defaultRouters, ReportDelay: defaultReportDelay, Duration: burstScenarioDuration, LowestClass: ticketClass,
		Streams: hotelStreams(1, burstStart, burstEnd),
	}
}

// sowingBurst is Khetbhoomi's burst, with long summaries.
func sowingBurst() Scenario {
	return Scenario{
		Name: "sowing burst", Routers: defaultRouters, ReportDelay: defaultReportDelay, Duration: burstScenarioDuration, LowestClass: "crop",
		Streams: farmStreams(burstStart, burstEnd),
	}
}

// classFlood is an ordinary day on which one class sends twenty times its usual
// rate.
func classFlood() Scenario {
	s := ordinaryDay()
	s.Name = "class flood"
	for i := range s.Streams {
		if s.Streams[i].Class == "chat" {
			s.Streams[i].BurstRate = 20 * s.Streams[i].Rate
			s.Streams[i].BurstStart, s.Streams[i].BurstEnd = burstStart, burstEnd
		}
	}
	return s
}

// teamFlood is an ordinary day on which one team sends fifty times its usual
// rate of chat. The flood has a column of its own.
func teamFlood() Scenario {
	s := ordinaryDay()
	s.Name = "team flood"
	for i := range s.Streams {
		if s.Streams[i].Class == "chat" && s.Streams[i].Team == "hotel0" {
			s.Streams[i].BurstRate = 50 * s.Streams[i].Rate
			s.Streams[i].BurstStart, s.Streams[i].BurstEnd = burstStart, burstEnd
			s.Streams[i].Column = "flooding"
		}
	}
	return s
}

// straggler is an ordinary day on which one engine slows down to a third of its
// speed.
func straggler() Scenario {
	s := ordinaryDay()
	s.Name = "straggler"
	s.Faults = []Fault{{At: burstStart, Apply: func(sim *simulation) {
		e := sim.engines["assistant3"]
		e.advance(sim.now)
		e.Speed = 1.0 / 3
		sim.scheduleStep(e)
	}}}
	return s
}

// crashInRush is the check-in rush with an engine that crashes and returns a
// minute later.
func crashInRush() Scenario {
	s := checkInRush("crash in rush")
	s.Faults = []Fault{{At: time.Minute, Apply: func(sim *simulation) { sim.crash("assistant3", time.Minute) }}}
	return s
}

// lateReports is the check-in rush with load reports that are five seconds
// late.
func lateReports() Scenario {
	s := checkInRush("late reports")
	s.ReportDelay = 5 * time.Second
	return s
}

// lostRouter is the check-in rush in which a router VM is lost.
func lostRouter() Scenario {
	s := checkInRush("router lost")
	s.LoseRouterAt = time.Minute
	return s
}

// presetSwitch is the check-in rush in which operators switch to another
// preset.
func presetSwitch() Scenario {
	s := checkInRush("preset switch")
	s.Faults = []Fault{{At: time.Minute, Apply: func(sim *simulation) {
		plan := sim.snapshot.Plan
		plan.ActivePreset = "evening"
		sim.snapshot = fleet.New(2, plan)
		for i := range sim.routers {
			sim.measureTime(func() { sim.routers[i].Apply(sim.virtualTime(), sim.snapshot) })
			sim.decide(i)
		}
	}}}
	return s
}

// hundredRouters is the check-in rush with a hundred routers and eleven times
// the servers.
func hundredRouters() Scenario {
	const scale = 11
	return Scenario{
		Name: "hundred routers", Routers: 100, FleetScale: scale, ReportDelay: defaultReportDelay, Duration: time.Minute, LowestClass: ticketClass,
		Streams: hotelStreams(scale, 15*time.Second, 45*time.Second),
	}
}

// sharedDrafts is a day on which volunteers ask repeatedly about the same lease
// drafts. The cache of one engine holds a fifth of the drafts.
func sharedDrafts() Scenario {
	streams := farmStreams(0, 0)
	for i := range streams {
		if streams[i].Class != "volunteer" {
			continue
		}
		streams[i].Rate *= 14
		streams[i].MedianTokens = 100
		streams[i].SharedTokens = 4608
		streams[i].PrefixGroups = 30
	}
	return Scenario{
		Name: "shared drafts", Routers: defaultRouters, ReportDelay: defaultReportDelay, Duration: 2 * time.Minute, LowestClass: "crop",
		Streams: streams,
	}
}

// lendingScenarios are Khetbhoomi's burst on Kilele's idle servers, ended by
// Kilele's own burst, one for each lending mode.
func lendingScenarios() []Scenario {
	modes := []struct {
		name    string
		lending schedule.Lending
	}{
		{"lending none", schedule.LendNone},
		{"lending by tier", schedule.LendTier},
		{"lending idle", schedule.LendIdle},
	}
	var list []Scenario
	for _, mode := range modes {
		streams := hotelStreams(1, 75*time.Second, burstEnd)
		streams = append(streams, farmStreams(20*time.Second, 90*time.Second)...)
		list = append(list, Scenario{
			Name: mode.name, Routers: defaultRouters, Pooled: true, ReportDelay: defaultReportDelay, Duration: burstScenarioDuration, LowestClass: "crop",
			Streams: streams, Lending: mode.lending,
		})
	}
	return list
}

// Overload is the mix of the check-in rush at a constant multiple of the
// capacity.
func Overload(factor float64) Scenario {
	const mix = 3
	streams := hotelStreams(factor/mix, 0, burstScenarioDuration)
	return Scenario{
		Name: "overload", Routers: defaultRouters, ReportDelay: defaultReportDelay, Duration: 2 * time.Minute, LowestClass: ticketClass,
		Streams: streams,
	}
}
