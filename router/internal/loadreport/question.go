package loadreport

import (
	"context"
	"net/netip"
	"time"

	"snipetally.example/router/internal/placement"
)

const (
	// answerTimeout is how long a request waits for the homes of engines. It
	// covers a round trip between availability zones and a busy processor.
	answerTimeout = 10 * time.Millisecond

	// silenceTime is how long a home that did not answer is not asked.
	silenceTime = 500 * time.Millisecond
)

// question waits for the answers of homes.
type question struct {
	// unanswered are the homes that have not answered yet. answered is closed
	// when there are none left.
	unanswered map[netip.AddrPort]struct{}
	answered   chan struct{}
}

// Ask asks the homes of engines for the current loads of the other routers and
// gives them to the load source. It returns when all have answered, and at the
// latest after a short time or at the end of the context.
func (d *Directory) Ask(ctx context.Context, servers []uint32) {
	now := time.Now()
	loads := make([]placement.ServerLoad, 0, len(servers))
	for _, server := range servers {
		loads = append(loads, placement.ServerLoad{Server: server, Load: d.config.Loads.Load(server)})
	}
	homes := d.byHome(now, loads)
	d.applyHeld(now, homes[d.config.Address])
	delete(homes, d.config.Address)
	number, q := d.addQuestion(now, homes)
	if q == nil {
		return
	}
	defer d.removeQuestion(number)
	for home, loads := range homes {
		if err := d.send(home, directoryMessage{Question: number, Loads: loads}); err != nil {
			d.config.ReportError(err)
		}
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case <-q.answered:
	case <-ctx.Done():
	case <-timer.C:
		d.markSilent(now, q)
	}
}

// addQuestion registers a question to the homes and returns it with its number.
// It removes the homes that are silent, and returns nil if none is left.
func (d *Directory) addQuestion(now time.Time, homes map[netip.AddrPort][]placement.ServerLoad) (uint32, *question) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := &question{unanswered: make(map[netip.AddrPort]struct{}, len(homes)), answered: make(chan struct{})}
	for home := range homes {
		if now.Before(d.silentUntil[home]) {
			delete(homes, home)
			continue
		}
		q.unanswered[home] = struct{}{}
	}
	if len(homes) == 0 || d.conn == nil {
		return 0, nil
	}
	d.lastQuestion++
	if d.lastQuestion == 0 {
		d.lastQuestion++ // Zero marks messages that ask nothing.
	}
	d.questions[d.lastQuestion] = q
	return d.lastQuestion, q
}

// removeQuestion drops a question. Answers that arrive later are still applied.
func (d *Directory) removeQuestion(number uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.questions, number)
}

// markSilent stops asking the homes that did not answer a question for a while.
func (d *Directory) markSilent(now time.Time, q *question) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for home := range q.unanswered {
		d.silentUntil[home] = now.Add(silenceTime)
	}
}

// recordAnswer records that a home has answered a question.
func (d *Directory) recordAnswer(home netip.AddrPort, number uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.silentUntil, home)
	q, ok := d.questions[number]
	if !ok {
		return
	}
	delete(q.unanswered, home)
	if len(q.unanswered) == 0 {
		delete(d.questions, number)
		close(q.answered)
	}
}
