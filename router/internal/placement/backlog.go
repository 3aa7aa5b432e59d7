package placement

// priorityLevels is the number of priorities that waiting prompts are counted
// by. Higher numbers count as the last one.
const priorityLevels = 16

// Backlog is the number of prompt tokens that wait for prefill at a server, by
// the priority of their requests. An engine processes lower numbers first.
type Backlog [priorityLevels]int

// QueuedTokens is an entry of a backlog.
type QueuedTokens struct {
	Priority int
	Tokens   int
}

// add adds tokens of a priority; a negative number of tokens removes them.
func (b *Backlog) add(priority, tokens int) {
	b[min(max(priority, 0), priorityLevels-1)] += tokens
}

// total returns the tokens of all priorities.
func (b *Backlog) total() int { return b.upTo(priorityLevels - 1) }

// upTo returns the tokens that are processed before those of a new request of a
// priority.
func (b *Backlog) upTo(priority int) int {
	sum := 0
	for _, tokens := range b[:min(max(priority, 0), priorityLevels-1)+1] {
		sum += tokens
	}
	return sum
}

// entries returns the priorities that have tokens.
func (b *Backlog) entries() []QueuedTokens {
	var entries []QueuedTokens
	for priority, tokens := range b {
		if tokens > 0 {
			entries = append(entries, QueuedTokens{Priority: priority, Tokens: tokens})
		}
	}
	return entries
}
