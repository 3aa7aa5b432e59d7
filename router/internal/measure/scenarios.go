package measure

import (
	"time"

	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
)

const (
	todayRouters = 9
	reportLag    = time.Second
	burstFrom    = 30 * time.Second
	burstTo      = 2 * time.Minute
	burstEnd     = 150 * time.Second
)

// Scenarios returns the scenarios that policies are compared in.
func Scenarios() []Scenario {
	list := []Scenario{ordinary(), rush("check-in rush"), sowing()}
	list = append(list, classFlood(), teamFlood(), straggler(), crash(), lateReports(), routerLost())
	list = append(list, presetSwitch(), hundred(), sharedDrafts())
	return append(list, lendings()...)
}

// ordinary is a day without bursts at about 60% of the capacity.
func ordinary() Scenario {
	return Scenario{
		Name: "ordinary day", Routers: todayRouters, ReportDelay: reportLag, Duration: 2 * time.Minute, LowestClass: ticketTags,
		Streams: append(hotels(1, 0, 0), farms(0, 0)...),
	}
}

// rush is Kilele's check-in: three times the capacity for 90 seconds.
func rush(name string) Scenario {
	return Scenario{
		Name: name, Routers: todayRouters, ReportDelay: reportLag, Duration: burstEnd, LowestClass: ticketTags,
		Streams: hotels(1, burstFrom, burstTo),
	}
}

// sowing is Khetbhoomi's burst with long summaries.
func sowing() Scenario {
	return Scenario{
		Name: "sowing burst", Routers: todayRouters, ReportDelay: reportLag, Duration: burstEnd, LowestClass: "crop",
		Streams: farms(burstFrom, burstTo),
	}
}

// classFlood is an ordinary day in which one class asks for twenty times its
// usual amount.
func classFlood() Scenario {
	s := ordinary()
	s.Name = "class flood"
	for i := range s.Streams {
		if s.Streams[i].Class == "chat" {
			s.Streams[i].BurstRate = 20 * s.Streams[i].Rate
			s.Streams[i].BurstStart, s.Streams[i].BurstEnd = burstFrom, burstTo
		}
	}
	return s
}

// teamFlood is an ordinary day in which one team asks for fifty times its usual
// amount of chat. The class of that team's flood is counted apart.
func teamFlood() Scenario {
	s := ordinary()
	s.Name = "team flood"
	for i := range s.Streams {
		if s.Streams[i].Class == "chat" && s.Streams[i].Team == "hotel0" {
			s.Streams[i].BurstRate = 50 * s.Streams[i].Rate
			s.Streams[i].BurstStart, s.Streams[i].BurstEnd = burstFrom, burstTo
			s.Streams[i].Column = "flooding"
		}
	}
	return s
}

// straggler is an ordinary day on which one engine falls to a third of its
// speed.
func straggler() Scenario {
	s := ordinary()
	s.Name = "straggler"
	s.Faults = []Fault{{At: burstFrom, Apply: func(w *world) {
		e := w.engines["assistant3"]
		e.advance(w.now)
		e.Speed = 1.0 / 3
		w.plan(e)
	}}}
	return s
}

// crash is the rush with an engine that crashes and is back a minute later.
func crash() Scenario {
	s := rush("crash in rush")
	s.Faults = []Fault{{At: time.Minute, Apply: func(w *world) { w.crash("assistant3", time.Minute) }}}
	return s
}

// lateReports is the rush with load reports that are five seconds late.
func lateReports() Scenario {
	s := rush("late reports")
	s.ReportDelay = 5 * time.Second
	return s
}

// routerLost is the rush in which a router VM is lost.
func routerLost() Scenario {
	s := rush("router lost")
	s.LoseRouterAt = time.Minute
	return s
}

// presetSwitch is the rush in which operators switch to another preset.
func presetSwitch() Scenario {
	s := rush("preset switch")
	s.Faults = []Fault{{At: time.Minute, Apply: func(w *world) {
		plan := w.snapshot.Plan
		plan.ActivePreset = "evening"
		w.snapshot = fleet.New(2, plan)
		for i := range w.routers {
			w.timed(func() { w.routers[i].Apply(w.time(), w.snapshot) })
			w.decide(i)
		}
	}}}
	return s
}

// hundred is the rush with a hundred routers and eleven times the servers.
func hundred() Scenario {
	const scale = 11
	return Scenario{
		Name: "hundred routers", Routers: 100, FleetScale: scale, ReportDelay: reportLag, Duration: time.Minute, LowestClass: ticketTags,
		Streams: hotels(scale, 15*time.Second, 45*time.Second),
	}
}

// sharedDrafts is a day on which volunteers ask again and again about the same
// lease drafts. One engine's cache holds a fifth of the drafts.
func sharedDrafts() Scenario {
	streams := farms(0, 0)
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
		Name: "shared drafts", Routers: todayRouters, ReportDelay: reportLag, Duration: 2 * time.Minute, LowestClass: "crop",
		Streams: streams,
	}
}

// lendings are Khetbhoomi's burst on Kilele's idle servers, which ends with
// Kilele's own burst, for each way to lend.
func lendings() []Scenario {
	ways := []struct {
		name    string
		lending schedule.Lending
	}{
		{"lending none", schedule.LendNone},
		{"lending by tier", schedule.LendTier},
		{"lending idle", schedule.LendIdle},
	}
	var list []Scenario
	for _, way := range ways {
		streams := hotels(1, 75*time.Second, burstTo)
		streams = append(streams, farms(20*time.Second, 90*time.Second)...)
		list = append(list, Scenario{
			Name: way.name, Routers: todayRouters, Pooled: true, ReportDelay: reportLag, Duration: burstEnd, LowestClass: "crop",
			Streams: streams, Lending: way.lending,
		})
	}
	return list
}

// Overload is the mix of the check-in rush at a multiple of the capacity, all
// the time.
func Overload(factor float64) Scenario {
	const mix = 3
	streams := hotels(factor/mix, 0, burstEnd)
	return Scenario{
		Name: "overload", Routers: todayRouters, ReportDelay: reportLag, Duration: 2 * time.Minute, LowestClass: ticketTags,
		Streams: streams,
	}
}
