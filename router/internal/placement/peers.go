package placement

import (
	"slices"
	"time"
)

const (
	// reportTTL is how long a router's last report counts.
	reportTTL = 1500 * time.Millisecond

	// expiryInterval is the time between two checks for routers that stopped
	// reporting.
	expiryInterval = reportTTL / 5

	// minReportedFailureRate is the least share of failed requests at which an
	// idle server is reported to other routers.
	minReportedFailureRate = 0.05

	// minSpeedSamples is the number of own observations below which another
	// router's speed is adopted.
	minSpeedSamples = 20
)

// LoadReport is what a router reports to the others about its own requests.
// Servers and services are named by hashes.
type LoadReport struct {
	Loads   []ServerLoad
	Demands []ServiceDemand
	Uses    []SessionUse
}

// ServerLoad is the load of one router at a server.
type ServerLoad struct {
	Server uint32
	Load
}

// Load is the reported load at a server.
type Load struct {
	// Queued holds the prompt tokens that wait for prefill; Running is the
	// number of requests in progress.
	Queued  []QueuedTokens
	Running int

	// Streams counts the streams among them by the pause between events that
	// they tolerate.
	Streams []StreamCount

	// ReservedTokens is the number of tokens that these requests need of an
	// engine's memory.
	ReservedTokens int

	// FailureRate is the smoothed share of failed requests, from 0 to 1.
	FailureRate float64
}

// ServiceDemand is the demand of one router's callers at a service.
type ServiceDemand struct {
	Service uint32

	// Short and Long are the demands of the two groups of requests.
	Short GroupDemand
	Long  GroupDemand

	// TokenRate is the number of tokens in each second that the router's
	// requests add to the servers' caches.
	TokenRate float64

	// PrefillSpeed is the estimated number of prompt tokens that a server
	// processes in a second; Samples is the number of observations behind it.
	PrefillSpeed float64
	Samples      int

	// ShortServers is the number of servers that the router reserves for
	// short prompts, out of Servers. It is zero while the router has not run
	// long enough to know the demand at the others.
	ShortServers int
	Servers      int

	// ShortLength is the length in tokens up to which the router counts prompts
	// as short, or zero if it does not split the classes.
	ShortLength float64
}

// peer is the last report of another router.
type peer struct {
	receivedAt time.Time
	report     LoadReport
}

// peerLoad is the sum of the other routers' reports about a server.
type peerLoad struct {
	queued         Backlog
	running        int
	streams        streamCounts
	reservedTokens int

	// failureRate is the sum of the reported shares of failed requests; reports
	// is the number of routers behind it.
	failureRate float64
	reports     int
}

// accumulate adds a reported load, or subtracts it if sign is -1.
func (p *peerLoad) accumulate(l Load, sign int) {
	for _, q := range l.Queued {
		p.queued.add(q.Priority, sign*q.Tokens)
	}
	p.running += sign * l.Running
	for _, c := range l.Streams {
		p.streams.add(c.Gap, sign*c.Streams)
	}
	p.reservedTokens += sign * l.ReservedTokens
	p.failureRate += float64(sign) * l.FailureRate
	p.reports += sign
}

// meanFailureRate returns the mean share of failed requests.
func (p *peerLoad) meanFailureRate() float64 {
	if p.reports == 0 {
		return 0
	}
	return max(p.failureRate, 0) / float64(p.reports)
}

// LoadReport returns this router's load report. Idle servers without notable
// failures are left out, and so are services of which this router knows nothing that
// others could use.
func (b *Balancer) LoadReport(now time.Time) LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var report LoadReport
	for _, s := range b.servers {
		s.decay(now)
		if s.running == 0 && s.failureRate < minReportedFailureRate {
			continue
		}
		report.Loads = append(report.Loads, ServerLoad{
			Server: shortHash(s.hash),
			Load:   s.ownLoad(),
		})
	}
	for _, s := range b.services {
		if demand := s.ownDemand(now, now.Sub(b.startedAt)); demand.isNotable() {
			report.Demands = append(report.Demands, demand)
		}
	}
	report.Uses = append(slices.Clone(b.sentUses), b.newUses...)
	b.sentUses, b.newUses = b.newUses, nil
	return report
}

// ownDemand returns this router's demand at the service, after it has been running for a time.
func (s *service) ownDemand(now time.Time, running time.Duration) ServiceDemand {
	return ServiceDemand{
		Service:      s.hash,
		Short:        s.demand.groupDemand(now, shortGroup),
		Long:         s.demand.groupDemand(now, longGroup),
		TokenRate:    s.tokenRate.current(now),
		PrefillSpeed: s.prefillSpeed,
		Samples:      s.speedSamples,
		ShortServers: s.demand.announcedShortServers(running),
		Servers:      s.demand.totalServers,
		ShortLength:  s.demand.boundary,
	}
}

// isNotable reports whether a demand tells others anything. That of a service without requests does
// not; entries of servers may name any number of such services.
func (d *ServiceDemand) isNotable() bool {
	return d.Short != GroupDemand{} || d.Long != GroupDemand{} || d.TokenRate != 0 || d.Samples > 0 || d.ShortServers > 0
}

// ApplyReport replaces the last load report of another router. The report must
// not be changed afterwards.
func (b *Balancer) ApplyReport(now time.Time, name string, report LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.peers[name]; ok {
		b.accumulate(old.report, -1)
	}
	b.peers[name] = &peer{receivedAt: now, report: report}
	b.accumulate(report, 1)
	b.adoptPartitions()
	b.adoptSpeeds(report)
	for _, use := range report.Uses {
		b.sessions.record(now, use)
	}
}

// accumulate adds a report to the sums, or subtracts it if sign is -1. The
// caller holds b.mu.
func (b *Balancer) accumulate(report LoadReport, sign int) {
	for _, l := range report.Loads {
		if s, ok := b.serversByHash[l.Server]; ok {
			s.reported.accumulate(l.Load, sign)
		}
	}
	for _, d := range report.Demands {
		s, ok := b.servicesByHash[d.Service]
		switch {
		case !ok:
		case sign > 0:
			s.peerShort, s.peerLong = s.peerShort.add(d.Short), s.peerLong.add(d.Long)
			s.peerTokenRate += d.TokenRate
		default:
			s.peerShort, s.peerLong = s.peerShort.subtract(d.Short), s.peerLong.subtract(d.Long)
			s.peerTokenRate -= d.TokenRate
		}
	}
}

// adoptPartitions adopts the partitions of the known router with the lowest
// name, unless that is this router. Only routers that announce a partition
// count. The caller holds b.mu.
func (b *Balancer) adoptPartitions() {
	var first *peer
	lowest := b.name
	for name, p := range b.peers {
		if name < lowest && p.announcesPartition() {
			first, lowest = p, name
		}
	}
	for _, s := range b.services {
		s.demand.adopted = nil
	}
	if first == nil {
		return
	}
	for _, d := range first.report.Demands {
		if s, ok := b.servicesByHash[d.Service]; ok && d.ShortServers > 0 {
			s.demand.adopted = &announcement{shortLength: d.ShortLength, shortServers: d.ShortServers, servers: d.Servers}
		}
	}
}

// announcesPartition reports whether the router announced a partition for any
// service.
func (p *peer) announcesPartition() bool {
	return slices.ContainsFunc(p.report.Demands, func(d ServiceDemand) bool { return d.ShortServers > 0 })
}

// adoptSpeeds adopts another router's speeds where this one has few
// observations. The caller holds b.mu.
func (b *Balancer) adoptSpeeds(report LoadReport) {
	for _, d := range report.Demands {
		if s, ok := b.servicesByHash[d.Service]; ok && d.Samples > s.speedSamples && s.speedSamples < minSpeedSamples {
			s.prefillSpeed, s.speedSamples = d.PrefillSpeed, minSpeedSamples
		}
	}
}

// recomputePeerLoads recomputes the sums of all reports after the servers or
// services changed. The caller holds b.mu.
func (b *Balancer) recomputePeerLoads() {
	for _, s := range b.servers {
		s.reported = peerLoad{}
	}
	for _, s := range b.services {
		s.peerShort, s.peerLong, s.peerTokenRate = GroupDemand{}, GroupDemand{}, 0
	}
	for _, p := range b.peers {
		b.accumulate(p.report, 1)
	}
}

// expirePeers drops the routers whose last report is older than reportTTL. The
// caller holds b.mu.
func (b *Balancer) expirePeers(now time.Time) {
	if now.Sub(b.lastExpiry) < expiryInterval {
		return
	}
	b.lastExpiry = now
	for name, p := range b.peers {
		if now.Sub(p.receivedAt) > reportTTL {
			b.accumulate(p.report, -1)
			delete(b.peers, name)
		}
	}
	b.adoptPartitions()
}

// shortHash returns the part of a hash that names a server, service or session
// in reports.
func shortHash(hash uint64) uint32 { return uint32(hash) }
