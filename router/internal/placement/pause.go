package placement

import "time"

const (
	// toleratedPrefillShare is the part of the tolerated pause between two
	// events in which an engine may process prompts. The rest is left for
	// generating the tokens of an event.
	toleratedPrefillShare = 0.85

	// harmlessPrefillShare is the part of that time up to which queued prompts
	// pause no stream.
	harmlessPrefillShare = 0.5

	// maxChunkTokens is the number of prompt tokens that an engine processes at
	// most between two tokens of its answers. It is a usual limit of engines.
	maxChunkTokens = 4096

	// maxGaps is the number of different tolerated pauses that streams are
	// counted by.
	maxGaps = 8
)

// StreamCount is a number of streams that tolerate the same pause.
type StreamCount struct {
	Gap     time.Duration
	Streams int
}

// streamCounts counts the streams in progress at a server by the pause that
// they tolerate.
type streamCounts []StreamCount

// add counts n more streams; a negative n removes them. Streams that tolerate
// any pause, and those of further classes in a service with very many different
// ones, are not counted.
func (c *streamCounts) add(gap time.Duration, n int) {
	if gap <= 0 {
		return
	}
	for i := range *c {
		if (*c)[i].Gap == gap {
			(*c)[i].Streams += n
			return
		}
	}
	if len(*c) < maxGaps {
		*c = append(*c, StreamCount{Gap: gap, Streams: n})
	}
}

// present returns the counts that are not zero.
func (c streamCounts) present() []StreamCount {
	var present []StreamCount
	for _, each := range c {
		if each.Streams != 0 {
			present = append(present, each)
		}
	}
	return present
}

// paused returns the number of streams that are expected to pause for too long
// while the engine processes prompts for the given number of seconds.
func (c streamCounts) paused(prefill float64) float64 {
	sum := 0.0
	for _, each := range c {
		if each.Streams > 0 {
			sum += float64(each.Streams) * pauseProbability(prefill, each.Gap)
		}
	}
	return sum
}

// pauseProbability returns the probability that a stream pauses for longer than
// the gap while the engine processes prompts for the given number of seconds.
func pauseProbability(prefill float64, gap time.Duration) float64 {
	if gap <= 0 {
		return 0
	}
	share := prefill / (toleratedPrefillShare * gap.Seconds())
	return min(max((share-harmlessPrefillShare)/(1-harmlessPrefillShare), 0), 1)
}

// pausesCaused returns the number of streams in progress at the engine that are
// expected to pause for too long because of a prompt that takes the given
// number of seconds.
func (s *service) pausesCaused(m *server, prefill float64) float64 {
	queued := s.queuedTime(m)
	before, after := s.prefillInEvent(m, queued), s.prefillInEvent(m, queued+prefill)
	caused := m.streams.paused(after) - m.streams.paused(before)
	return caused + m.peers.streams.paused(after) - m.peers.streams.paused(before)
}

// queuedTime returns the time that an engine takes to process the queued
// prompts, in seconds.
func (s *service) queuedTime(m *server) float64 {
	return float64(m.queuedTokens()) / s.prefillSpeed * m.slowdown()
}

// prefillInEvent returns how much of the time for the queued prompts falls
// between two events of a stream, in seconds. An engine processes one chunk for
// each token that it generates.
func (s *service) prefillInEvent(m *server, queued float64) float64 {
	if m.TokensPerEvent == 0 {
		return queued
	}
	return min(queued, float64(m.TokensPerEvent*maxChunkTokens)/s.prefillSpeed*m.slowdown())
}
