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

	// Column names a column of the table of its own, or is empty.
	Column string

	// Rate is the number of requests a second in the ordinary, and Burst that
	// between From and To.
	Rate                 float64
	BurstRate            float64
	BurstStart, BurstEnd time.Duration

	// MedianTokens and Spread give the lognormal length of answers in tokens, and
	// Prompt the length of the prompt, of which Shared tokens are common to
	// one of Groups prefixes.
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

	// Router is the index of the router that the caller's balancer picked.
	Router int
	Class  *class.Class

	// column is the class, or the mark of the stream.
	column string

	run      *Attempt
	attempts int
	first    time.Duration
	ended    time.Duration
	state    jobState
	handle   any
}

type jobState uint8

const (
	jobOpen jobState = iota
	jobDone
	jobRefused
	jobLost
)

// jobs draws the requests of streams up to an end, in the order of time.
func jobs(seed uint64, streams []Stream, end time.Duration, plan *world) []*Job {
	var all []*Job
	for i := range streams {
		r := rand.New(rand.NewPCG(seed, uint64(i)+1))
		all = append(all, streams[i].draw(r, uint64(i), end, plan)...)
	}
	slices.SortStableFunc(all, func(a, b *Job) int { return int(a.Arrived - b.Arrived) })
	return all
}

// draw draws the requests of one stream.
func (s *Stream) draw(r *rand.Rand, id uint64, end time.Duration, w *world) []*Job {
	var list []*Job
	at := time.Duration(0)
	for {
		rate := s.Rate
		if s.BurstRate > 0 && at >= s.BurstStart && at < s.BurstEnd {
			rate = s.BurstRate
		}
		step := time.Duration(r.ExpFloat64() / max(rate, 0.001) * float64(time.Second))
		// A step never skips over the start of a burst.
		if s.BurstRate > 0 && at < s.BurstStart && at+step > s.BurstStart {
			at = s.BurstStart
			continue
		}
		at += step
		if at >= end {
			return list
		}
		list = append(list, s.job(r, id, uint64(len(list)), at, w))
	}
}

// job draws one request.
func (s *Stream) job(r *rand.Rand, id, number uint64, at time.Duration, w *world) *Job {
	length := 1
	if s.Model != "" {
		length = int(s.MedianTokens * math.Exp(s.LogDeviation*r.NormFloat64()))
		length = min(max(length, 1), 4096)
	}
	j := &Job{Length: length, Arrived: at, Router: r.IntN(1 << 30), Class: w.snapshot.Classes[s.Class]}
	team := w.snapshot.Teams[s.Team]
	if team == nil {
		team = &contract.Team{Name: s.Team, Weight: 1}
	}
	j.column = s.column()
	j.Request = schedule.Request{
		ID:           fmt.Sprintf("%d-%d", id, number),
		Class:        j.Class,
		Team:         team,
		Model:        s.Model,
		Service:      s.Service,
		PromptTokens: s.PromptTokens,
		Size:         4 * s.PromptTokens,
		Arrived:      base.Add(at),
		Deadline:     base.Add(at + j.Class.QueueTimeout),
	}
	j.Request.Prefixes = s.prefixes(r, id, number)
	return j
}

// column names the column of the table that the stream counts in.
func (s *Stream) column() string {
	if s.Column != "" {
		return s.Column
	}
	return s.Class
}

// prefixes draws the block hashes of a prompt.
func (s *Stream) prefixes(r *rand.Rand, id, number uint64) []uint64 {
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

// quantile returns the value at one part-th of the sorted values.
func quantile(values []int, part int) int {
	slices.Sort(values)
	return values[len(values)/part]
}
