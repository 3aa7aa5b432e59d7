package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/schedule"
)

// Stream is a source of requests of one class and team.
type Stream struct {
	Class   string
	Team    string
	Model   string
	Service string

	// Column is the column of the table for this stream; empty means that of
	// the class.
	Column string

	// Rate is the usual number of requests a second, and BurstRate that between
	// BurstStart and BurstEnd.
	Rate                 float64
	BurstRate            float64
	BurstStart, BurstEnd time.Duration

	// MedianTokens and LogDeviation are the parameters of the lognormal length
	// of responses. PromptTokens is the length of the prompt, of which
	// SharedTokens tokens are one of PrefixGroups common prefixes.
	MedianTokens float64
	LogDeviation float64
	PromptTokens int
	SharedTokens int
	PrefixGroups int
}

// Job is one request and how it ended.
type Job struct {
	Request schedule.Request
	Length  int
	Arrived time.Duration

	// Router is the index of the router that the caller's load balancer picked.
	Router int
	Class  *class.Class

	// column is the column of the table that the job counts in.
	column string

	attempt    *Attempt
	attempts   int
	firstToken time.Duration
	finished   time.Duration
	state      jobState

	// ticket is the router's own record of the job, if it has one.
	ticket any
}

type jobState uint8

const (
	jobOpen jobState = iota
	jobDone
	jobRefused
	jobLost
)

// drawJobs draws the requests of all streams up to an end time, ordered by
// arrival.
func drawJobs(seed uint64, streams []Stream, end time.Duration, sim *simulation) []*Job {
	var all []*Job
	for i := range streams {
		r := rand.New(rand.NewPCG(seed, uint64(i)+1))
		all = append(all, streams[i].drawJobs(r, uint64(i), end, sim)...)
	}
	slices.SortStableFunc(all, func(a, b *Job) int { return int(a.Arrived - b.Arrived) })
	return all
}

// drawJobs draws the requests of one stream.
func (s *Stream) drawJobs(r *rand.Rand, id uint64, end time.Duration, sim *simulation) []*Job {
	var list []*Job
	at := time.Duration(0)
	for {
		rate := s.Rate
		if s.BurstRate > 0 && at >= s.BurstStart && at < s.BurstEnd {
			rate = s.BurstRate
		}
		step := time.Duration(r.ExpFloat64() / max(rate, 0.001) * float64(time.Second))
		// Draw again from the start of a burst rather than step past it.
		if s.BurstRate > 0 && at < s.BurstStart && at+step > s.BurstStart {
			at = s.BurstStart
			continue
		}
		at += step
		if at >= end {
			return list
		}
		list = append(list, s.drawJob(r, id, uint64(len(list)), at, sim))
	}
}

// drawJob draws one request.
func (s *Stream) drawJob(r *rand.Rand, id, number uint64, at time.Duration, sim *simulation) *Job {
	length := 1
	if s.Model != "" {
		length = int(s.MedianTokens * math.Exp(s.LogDeviation*r.NormFloat64()))
		length = min(max(length, 1), 4096)
	}
	j := &Job{Length: length, Arrived: at, Router: r.IntN(1 << 30), Class: sim.snapshot.Classes[s.Class]}
	team := sim.snapshot.Teams[s.Team]
	if team == nil {
		team = &contract.Team{Name: s.Team, Weight: 1}
	}
	j.column = s.columnName()
	j.Request = schedule.Request{
		ID:           fmt.Sprintf("%d-%d", id, number),
		Class:        j.Class,
		Team:         team,
		Model:        s.Model,
		Service:      s.Service,
		PromptTokens: s.PromptTokens,
		Size:         4 * s.PromptTokens,
		Arrived:      epoch.Add(at),
		Deadline:     epoch.Add(at + j.Class.QueueTimeout),
	}
	j.Request.Prefixes = s.drawPrefixes(r, id, number)
	return j
}

// columnName returns the column of the table that the stream counts in.
func (s *Stream) columnName() string {
	if s.Column != "" {
		return s.Column
	}
	return s.Class
}

// drawPrefixes draws the block hashes of a prompt.
func (s *Stream) drawPrefixes(r *rand.Rand, id, number uint64) []uint64 {
	blocks := s.PromptTokens / blockTokens
	if blocks == 0 || s.PrefixGroups == 0 {
		return nil
	}
	group := uint64(float64(s.PrefixGroups) * math.Pow(r.Float64(), 2))
	list := make([]uint64, blocks)
	for i := range list {
		tag := group
		if i >= s.SharedTokens/blockTokens {
			tag = 1<<20 + number
		}
		list[i] = id<<56 | tag<<8 | uint64(i)
	}
	return list
}
