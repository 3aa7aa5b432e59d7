package engine

import (
	"net/http"
	"strconv"
	"time"
)

// loadReport is the load of the engine at one time. At is in Unix milliseconds,
// CacheUsage a fraction from 0 to 1, TokenLatency in milliseconds.
type loadReport struct {
	At           int64   `json:"at"`
	Waiting      int     `json:"waiting"`
	Running      int     `json:"running"`
	Slots        int     `json:"slots"`
	CacheUsage   float64 `json:"cache"`
	TokenLatency float64 `json:"pace"`
}

// recordLoad appends a report of the current load and drops those that getLoad
// can no longer return. The caller holds e.mu.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.loadReports = append(e.loadReports, loadReport{
		At:           now.UnixMilli(),
		Waiting:      len(e.waiting),
		Running:      len(e.running),
		Slots:        e.config.Slots,
		CacheUsage:   e.cache.usage(),
		TokenLatency: float64(e.tokenLatency()) / float64(time.Millisecond),
	})
	cutoff := now.Add(-e.config.ReportDelay).UnixMilli()
	for len(e.loadReports) > 1 && e.loadReports[1].At <= cutoff {
		e.loadReports = e.loadReports[1:]
	}
}

// getLoad returns the newest report that is at least ReportDelay old, or the
// oldest one if none is. Its time is set to ReportDelay ago if it is older.
func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	cutoff := time.Now().Add(-e.config.ReportDelay).UnixMilli()
	e.mu.Lock()
	report := e.loadReports[0]
	for _, r := range e.loadReports {
		if r.At <= cutoff {
			report = r
		}
	}
	e.mu.Unlock()
	report.At = max(report.At, cutoff)
	e.writeJSON(w, report)
}

// cacheEventBody is the encoded form of cacheEvent.
type cacheEventBody struct {
	Sequence uint64 `json:"number"`
	Prefix   string `json:"prefix"`
	Added    bool   `json:"kept"`
}

// cacheEventsBody is a list of cache events. Last is the sequence number of the
// last event that is old enough to be reported, even if the list omits it.
type cacheEventsBody struct {
	Events []cacheEventBody `json:"events"`
	Last   uint64           `json:"last"`
}

// listCacheEvents returns the cache events with a sequence number above the query
// parameter "after". It reports events only once they are ReportDelay old and
// omits those lost according to EventLossInterval.
func (e *Engine) listCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	cutoff := time.Now().Add(-e.config.ReportDelay)
	body := cacheEventsBody{Events: []cacheEventBody{}}
	e.mu.Lock()
	for _, event := range e.cache.events {
		if event.at.After(cutoff) {
			break
		}
		body.Last = event.sequence
		lost := e.config.EventLossInterval > 0 && event.sequence%e.config.EventLossInterval == 0
		if event.sequence > after && !lost {
			body.Events = append(body.Events, cacheEventBody{Sequence: event.sequence, Prefix: event.prefix, Added: event.added})
		}
	}
	e.mu.Unlock()
	e.writeJSON(w, body)
}

// listModels returns the loaded models.
func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
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
	for _, name := range e.orderState.models {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "engine"})
	}
	e.mu.Unlock()
	e.writeJSON(w, list)
}
