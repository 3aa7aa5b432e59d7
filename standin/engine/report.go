package engine

import (
	"net/http"
	"strconv"
	"time"
)

// load is a sample of the engine's load.
type load struct {
	At      int64   `json:"at"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Slots   int     `json:"slots"`
	Cache   float64 `json:"cache"`
	Pace    float64 `json:"pace"`
}

// sample notes the load of now and drops samples that are no longer reported.
// The caller holds e.mu.
func (e *Engine) sample() {
	now := time.Now()
	e.samples = append(e.samples, load{
		At:      now.UnixMilli(),
		Waiting: len(e.waiting),
		Running: len(e.running),
		Slots:   e.config.Slots,
		Cache:   e.cache.fill(),
		Pace:    float64(e.pace()) / float64(time.Millisecond),
	})
	horizon := now.Add(-e.config.ReportDelay).UnixMilli()
	for len(e.samples) > 1 && e.samples[1].At <= horizon {
		e.samples = e.samples[1:]
	}
}

// load answers the newest sample that is older than the lag.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	horizon := time.Now().Add(-e.config.ReportDelay).UnixMilli()
	e.mu.Lock()
	newest := e.samples[0]
	for _, s := range e.samples {
		if s.At <= horizon {
			newest = s
		}
	}
	e.mu.Unlock()
	newest.At = max(newest.At, horizon)
	e.reply(w, newest)
}

// eventAnswer is one cache event.
type eventAnswer struct {
	Number uint64 `json:"number"`
	Prefix string `json:"prefix"`
	Kept   bool   `json:"kept"`
}

// eventsAnswer is a list of cache events.
type eventsAnswer struct {
	Events []eventAnswer `json:"events"`
	Last   uint64        `json:"last"`
}

// cacheEvents answers the cache events after a number, late and with gaps.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	horizon := time.Now().Add(-e.config.ReportDelay)
	answer := eventsAnswer{Events: []eventAnswer{}}
	e.mu.Lock()
	for _, event := range e.cache.events {
		if event.at.After(horizon) {
			break
		}
		answer.Last = event.number
		lost := e.config.EventLossInterval > 0 && event.number%e.config.EventLossInterval == 0
		if event.number > after && !lost {
			answer.Events = append(answer.Events, eventAnswer{Number: event.number, Prefix: event.prefix, Kept: event.kept})
		}
	}
	e.mu.Unlock()
	e.reply(w, answer)
}

// models answers the loaded models.
func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	e.mu.Lock()
	for _, name := range e.orders.models {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "engine"})
	}
	e.mu.Unlock()
	e.reply(w, list)
}
