package placement

// ranks is the number of ranks that waiting prompts are counted by. A request
// of a rank beyond counts as one of the last.
const ranks = 16

// Backlog is the number of prompt tokens that wait to be read at a server, by
// the rank of their requests. An engine reads the prompts of lower ranks first.
type Backlog [ranks]int

// QueuedTokens is an entry of a backlog.
type QueuedTokens struct {
	Priority int
	Tokens   int
}

// add counts tokens of a rank; negative ones are taken off.
func (b *Backlog) add(rank, tokens int) {
	b[min(max(rank, 0), ranks-1)] += tokens
}

// total returns all tokens.
func (b *Backlog) total() int { return b.upTo(ranks - 1) }

// upTo returns the tokens that are read before those of a new request of a
// rank.
func (b *Backlog) upTo(rank int) int {
	sum := 0
	for _, tokens := range b[:min(max(rank, 0), ranks-1)+1] {
		sum += tokens
	}
	return sum
}

// entries returns the ranks with tokens.
func (b *Backlog) entries() []QueuedTokens {
	var entries []QueuedTokens
	for rank, tokens := range b {
		if tokens > 0 {
			entries = append(entries, QueuedTokens{Priority: rank, Tokens: tokens})
		}
	}
	return entries
}
