package engine

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// wrongAttempt is the attempt id that FaultWrongAttempt sends.
const wrongAttempt = "another-attempt"

// resumeStream sends the events of a stream after the one in Last-Event-ID.
func (e *Engine) resumeStream(w http.ResponseWriter, r *http.Request) {
	attempt := mux.Vars(r)["attempt"]
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.mu.Lock()
	j := e.jobs[attempt]
	gone := j == nil || j.state == StateCancelled || (j.state == StateDone && j.events == nil)
	e.mu.Unlock()
	w.Header().Set(attemptHeader, attempt)
	if gone {
		e.writeError(w, http.StatusNotFound, "absent", "the stream is gone")
		return
	}
	e.addReader(j)
	defer e.removeReader(j)
	e.streamEvents(w, r, j, after)
}

// streamEvents sends the events after event number sent until the job ends or the
// client disconnects.
func (e *Engine) streamEvents(w http.ResponseWriter, r *http.Request, j *job, sent int) {
	fault := e.nextFault()
	e.setEpochHeader(w)
	if fault != nil && fault.Kind == FaultWrongAttempt {
		w.Header().Set(attemptHeader, wrongAttempt)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		events, changed, open := e.eventsAfter(j, sent)
		for _, data := range events {
			fault.interrupt(w, r, sent)
			if fault.endsStream(sent) {
				return
			}
			sent++
			data = fault.alterData(j, sent, data)
			if err := fault.writeEvent(w, sent, data); err != nil {
				return
			}
		}
		_ = flusher.Flush()
		if !open {
			fault.interrupt(w, r, sent)
			return
		}
		if len(events) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the events of a job after event number sent, a channel that
// is closed on the next change, and whether more events may follow. It panics with
// http.ErrAbortHandler if the engine crashed.
func (e *Engine) eventsAfter(j *job, sent int) (events [][]byte, changed <-chan struct{}, open bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.crashed {
		panic(http.ErrAbortHandler)
	}
	if sent < len(j.events) {
		events = j.events[sent:len(j.events):len(j.events)]
	}
	return events, j.changed, !j.ended()
}

// writeFullResponse waits for the end of the job and sends a non-streaming
// response.
func (e *Engine) writeFullResponse(w http.ResponseWriter, r *http.Request, j *job) {
	for {
		_, changed, open := e.eventsAfter(j, 0)
		if !open {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	e.mu.Lock()
	done, body := j.state == StateDone, j.encodeResponse()
	e.mu.Unlock()
	if !done {
		e.writeError(w, http.StatusGone, string(StateCancelled), "the request was canceled")
		return
	}
	fault := e.nextFault()
	fault.hang(r, 0)
	if fault != nil && fault.Kind == FaultWrongAttempt {
		w.Header().Set(attemptHeader, wrongAttempt)
	}
	declared, body := fault.frameBody(fault.alterData(j, 1, body))
	e.setEpochHeader(w)
	if declared < len(body) {
		writeExcessBody(w, declared, body)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(declared))
	_, _ = w.Write(body)
	if fault != nil && fault.Kind == FaultBreak {
		panic(http.ErrAbortHandler)
	}
}

// writeExcessBody sends more bytes than declared and closes the connection. It
// hijacks the connection because net/http never sends more than the declared
// Content-Length.
func writeExcessBody(w http.ResponseWriter, declared int, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(declared))
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head)
	head.WriteString("\r\n")
	_, _ = conn.Write(append(head.Bytes(), body...))
}

// hang blocks until the client disconnects and then aborts the response, if the
// fault is FaultHang and its number of events has been sent.
func (f *Fault) hang(r *http.Request, sent int) {
	if f != nil && f.Kind == FaultHang && sent >= f.Event {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// interrupt hangs or breaks a stream if the fault requires it after sent events.
func (f *Fault) interrupt(w http.ResponseWriter, r *http.Request, sent int) {
	if f == nil || sent < f.Event {
		return
	}
	_ = http.NewResponseController(w).Flush()
	f.hang(r, sent)
	if f.Kind == FaultBreak {
		panic(http.ErrAbortHandler)
	}
}

// endsStream reports whether the stream ends before its next event.
func (f *Fault) endsStream(sent int) bool {
	if f == nil {
		return false
	}
	return f.Kind == FaultTruncate && sent >= f.Event || f.Kind == FaultEarlyDone && sent > f.Event
}

// alterData returns the data of the event with the given number, altered by
// FaultWrongAttempt and FaultEarlyDone.
func (f *Fault) alterData(j *job, number int, data []byte) []byte {
	switch {
	case f == nil:
		return data
	case f.Kind == FaultWrongAttempt:
		return bytes.ReplaceAll(data, []byte(promptHash(j.prompt)), []byte(promptHash(j.prompt+"other")))
	case f.Kind == FaultEarlyDone && number == f.Event+1:
		return []byte(doneMarker)
	}
	return data
}

// writeEvent sends one event, altered by FaultSkip, FaultDuplicate and FaultSwap.
func (f *Fault) writeEvent(w http.ResponseWriter, number int, data []byte) error {
	copies := 1
	if f != nil {
		switch {
		case f.Kind == FaultSkip && number == f.Event:
			copies = 0
		case f.Kind == FaultDuplicate && number == f.Event:
			copies = 2
		case f.Kind == FaultSwap && number == f.Event:
			number++
		case f.Kind == FaultSwap && number == f.Event+1:
			number--
		}
	}
	for range copies {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, data); err != nil {
			return err
		}
	}
	return nil
}

// frameBody returns the Content-Length to declare and the body to send for a
// non-streaming response.
func (f *Fault) frameBody(body []byte) (int, []byte) {
	if f == nil {
		return len(body), body
	}
	switch f.Kind {
	case FaultBreak, FaultShortBody:
		return len(body), body[:len(body)/2]
	case FaultLongBody:
		return len(body) / 2, body
	}
	return len(body), body
}

// addReader counts a client that reads the response of the job.
func (e *Engine) addReader(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers++
}

// removeReader reverts addReader for a client. The job is canceled if it has no
// reader after OrphanTimeout.
func (e *Engine) removeReader(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers--
	if e.config.OrphanTimeout == 0 || j.readers > 0 || j.ended() {
		return
	}
	time.AfterFunc(e.config.OrphanTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if j.readers == 0 {
			j.cancel()
		}
	})
}
