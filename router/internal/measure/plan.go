package measure

import (
	"fmt"
	"time"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/preset"
)

// Names of the two partners, of their models and of a class.
const (
	hotelPartner = "kilele"
	farmPartner  = "khetbhoomi"
	hotelModel   = "assistant"
	farmModel    = "lease"

	ticketClass = "ticket"
)

const engineSlots = 16

// interactive returns a class with the latency targets of a conversation.
func interactive(name string, tier class.Tier) class.Class {
	return class.Class{
		Name:                name,
		Tier:                tier,
		FirstTokenTarget:    420 * time.Millisecond,
		BetweenTokensTarget: 38 * time.Millisecond,
		QueueTimeout:        5 * time.Second,
		Weight:              1,
		MaxQueued:           2000,
	}
}

// relaxed returns a class for background work.
func relaxed(name string, tier class.Tier, first, between time.Duration) class.Class {
	return class.Class{
		Name:                name,
		Tier:                tier,
		FirstTokenTarget:    first,
		BetweenTokensTarget: between,
		QueueTimeout:        2 * first,
		Weight:              1,
		Floor:               0.02,
		MaxQueued:           2000,
	}
}

// classes returns the classes of both partners.
func classes() []class.Class {
	voucher := interactive("voucher", 0)
	voucher.Protected = true
	plot := interactive("plot", 0)
	plot.Protected = true
	grant := interactive("grant", 0)
	grant.Protected = true
	grant.AtMostOnce = true
	volunteer := interactive("volunteer", 1)
	volunteer.FirstTokenTarget = 3 * time.Second
	volunteer.BetweenTokensTarget = 45 * time.Millisecond
	volunteer.QueueTimeout = 15 * time.Second
	return []class.Class{
		voucher, plot, grant, volunteer,
		interactive("frontdesk", 1),
		interactive("chat", 2),
		interactive("status", 2),
		relaxed("stay", 3, 3*time.Second, 45*time.Millisecond),
		relaxed("tidy", 4, 15*time.Second, 200*time.Millisecond),
		relaxed(ticketClass, 5, 20*time.Second, 200*time.Millisecond),
		relaxed("crop", 5, 20*time.Second, 200*time.Millisecond),
	}
}

// fleetPlan returns the plan of both partners' fleet, with scale times the
// servers. Each engine serves its owner's model; pooled engines serve both.
func fleetPlan(scale int, pooled bool) fleet.Plan {
	p := fleet.Plan{
		Classes:      classes(),
		Partners:     []contract.Partner{{Name: hotelPartner}, {Name: farmPartner}},
		Services:     []fleet.Service{{Name: "portal", AtMostOnce: true}},
		Presets:      []preset.Preset{{Name: "day"}, eveningPreset()},
		ActivePreset: "day",
	}
	if pooled {
		p.Partners[0].Loans = []contract.Loan{{Borrower: farmPartner, MaxShare: 0.4}}
		p.Partners[1].Loans = []contract.Loan{{Borrower: hotelPartner, MaxShare: 0.4}}
	}
	for i := range 10 {
		p.Teams = append(p.Teams,
			contract.Team{Name: fmt.Sprintf("hotel%d", i), Partner: hotelPartner, Weight: 1},
			contract.Team{Name: fmt.Sprintf("office%d", i), Partner: farmPartner, Weight: 1},
		)
	}
	add := func(kind backend.Kind, partner, region, name string, count, zones, slots int) {
		for i := range count * scale {
			s := backend.Server{
				Name:    fmt.Sprintf("%s%d", name, i),
				Region:  region,
				Zone:    fmt.Sprintf("%s%d", region, i%zones),
				Partner: partner,
				Kind:    kind,
				Slots:   slots,
			}
			switch {
			case kind == backend.KindService:
				s.Service = name
			case pooled:
				s.Models = []string{hotelModel, farmModel}
			default:
				s.Models = []string{name}
			}
			p.Servers = append(p.Servers, s)
		}
	}
	add(backend.KindEngine, hotelPartner, "dar", hotelModel, 18, 4, engineSlots)
	add(backend.KindService, hotelPartner, "dar", "portal", 4, 4, 32)
	add(backend.KindEngine, farmPartner, "kutch", farmModel, 9, 3, engineSlots)
	return p
}

// eveningPreset returns a preset that favors chat and relaxes the targets of
// background work.
func eveningPreset() preset.Preset {
	weight, floor, first := 4.0, 0.05, 40*time.Second
	return preset.Preset{
		Name: "evening",
		Overrides: map[string]preset.Override{
			"chat":      {Weight: &weight},
			ticketClass: {Floor: &floor, FirstTokenTarget: &first},
		},
	}
}

// hotelStreams returns Kilele's streams, with the burst rates of the check-in
// rush between from and to.
func hotelStreams(scale float64, from, to time.Duration) []Stream {
	var streams []Stream
	add := func(s Stream) {
		s.Model = hotelModel
		s.Rate *= scale
		s.BurstRate *= scale
		s.BurstStart, s.BurstEnd = from, to
		streams = append(streams, splitByTeam(s, "hotel", 5)...)
	}
	add(Stream{Class: "voucher", Rate: 8, BurstRate: 30, MedianTokens: 10, LogDeviation: 0.3, PromptTokens: 256, SharedTokens: 256, PrefixGroups: 20})
	add(Stream{Class: "frontdesk", Rate: 12, BurstRate: 40, MedianTokens: 90, LogDeviation: 0.7, PromptTokens: 768, SharedTokens: 512, PrefixGroups: 40})
	add(Stream{Class: "chat", Rate: 15, BurstRate: 100, MedianTokens: 90, LogDeviation: 0.8, PromptTokens: 512, SharedTokens: 256, PrefixGroups: 100})
	add(Stream{Class: "stay", Rate: 2, BurstRate: 8, MedianTokens: 450, LogDeviation: 0.8, PromptTokens: 2560, SharedTokens: 512, PrefixGroups: 20})
	add(Stream{Class: ticketClass, Rate: 10, BurstRate: 100, MedianTokens: 15, LogDeviation: 0.5, PromptTokens: 512, SharedTokens: 256, PrefixGroups: 4})
	streams = append(streams, Stream{Class: "grant", Team: "hotel0", Service: "portal", Rate: 20 * scale,
		BurstRate: 80 * scale, BurstStart: from, BurstEnd: to})
	return streams
}

// farmStreams returns Khetbhoomi's streams, with the burst rates of the sowing
// season between from and to.
func farmStreams(from, to time.Duration) []Stream {
	var streams []Stream
	add := func(s Stream) {
		s.Model = farmModel
		s.BurstStart, s.BurstEnd = from, to
		streams = append(streams, splitByTeam(s, "office", 5)...)
	}
	add(Stream{Class: "plot", Rate: 5, BurstRate: 20, MedianTokens: 12, LogDeviation: 0.3, PromptTokens: 256, SharedTokens: 256, PrefixGroups: 20})
	add(Stream{Class: "volunteer", Rate: 0.8, BurstRate: 3, MedianTokens: 450, LogDeviation: 0.8, PromptTokens: 5120, SharedTokens: 1024, PrefixGroups: 10})
	add(Stream{Class: "status", Rate: 8, BurstRate: 60, MedianTokens: 60, LogDeviation: 0.6, PromptTokens: 256, SharedTokens: 256, PrefixGroups: 20})
	add(Stream{Class: "tidy", Rate: 3, BurstRate: 20, MedianTokens: 150, LogDeviation: 0.7, PromptTokens: 512, SharedTokens: 256, PrefixGroups: 4})
	add(Stream{Class: "crop", Rate: 10, BurstRate: 50, MedianTokens: 12, LogDeviation: 0.4, PromptTokens: 256, SharedTokens: 256, PrefixGroups: 4})
	return streams
}

// splitByTeam divides a stream evenly among teams.
func splitByTeam(s Stream, team string, teams int) []Stream {
	list := make([]Stream, teams)
	for i := range list {
		list[i] = s
		list[i].Team = fmt.Sprintf("%s%d", team, i)
		list[i].Rate /= float64(teams)
		list[i].BurstRate /= float64(teams)
	}
	return list
}
