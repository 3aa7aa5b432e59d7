package engine

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// otherAttempt is the id that FaultAttempt echoes.
const otherAttempt = "another-attempt"

// resume sends the events of a stream after the last one seen.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	attempt := mux.Vars(r)["attempt"]
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.mu.Lock()
	j := e.jobs[attempt]
	gone := j == nil || j.state == StateCancelled || (j.state == StateDone && j.events == nil)
	e.mu.Unlock()
	w.Header().Set(attemptHeader, attempt)
	if gone {
		e.refuse(w, http.StatusNotFound, "absent", "the stream is gone")
		return
	}
	e.attach(j)
	defer e.detach(j)
	e.stream(w, r, j, after)
}

// stream sends the events after the given one until the job ends or the reader
// goes away.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, sent int) {
	fault := e.fault()
	e.mark(w)
	if fault != nil && fault.Kind == FaultWrongAttempt {
		w.Header().Set(attemptHeader, otherAttempt)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		events, changed, open := e.after(j, sent)
		for _, data := range events {
			fault.interrupt(w, r, sent)
			if fault.ends(sent) {
				return
			}
			sent++
			data = fault.alter(j, sent, data)
			if err := fault.write(w, sent, data); err != nil {
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

// after returns the events of a job after number sent, a channel that closes
// on the next change, and whether more may come.
func (e *Engine) after(j *job, sent int) (events [][]byte, changed <-chan struct{}, open bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.lost {
		panic(http.ErrAbortHandler)
	}
	if sent < len(j.events) {
		events = j.events[sent:len(j.events):len(j.events)]
	}
	return events, j.changed, !j.ended()
}

// whole answers when the job has ended.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, j *job) {
	for {
		_, changed, open := e.after(j, 0)
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
	done, body := j.state == StateDone, j.whole()
	e.mu.Unlock()
	if !done {
		e.refuse(w, http.StatusGone, string(StateCancelled), "the request was canceled")
		return
	}
	fault := e.fault()
	fault.hang(r, 0)
	if fault != nil && fault.Kind == FaultWrongAttempt {
		w.Header().Set(attemptHeader, otherAttempt)
	}
	declared, body := fault.cut(fault.alter(j, 1, body))
	e.mark(w)
	if declared < len(body) {
		overrun(w, declared, body)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(declared))
	_, _ = w.Write(body)
	if fault != nil && fault.Kind == FaultBreak {
		panic(http.ErrAbortHandler)
	}
}

// overrun sends more bytes than declared, which the server of the standard
// library does not do, and closes the connection.
func overrun(w http.ResponseWriter, declared int, body []byte) {
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

// hang keeps the connection without an answer, where the fault says so.
func (f *Fault) hang(r *http.Request, sent int) {
	if f != nil && f.Kind == FaultHang && sent >= f.Event {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// interrupt hangs or breaks a stream, where the fault says so.
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

// ends reports whether the stream ends before its next event.
func (f *Fault) ends(sent int) bool {
	if f == nil {
		return false
	}
	return f.Kind == FaultTruncate && sent >= f.Event || f.Kind == FaultEarlyDone && sent > f.Event
}

// alter returns the data of an event, changed as the fault says.
func (f *Fault) alter(j *job, number int, data []byte) []byte {
	switch {
	case f == nil:
		return data
	case f.Kind == FaultWrongAttempt:
		return bytes.ReplaceAll(data, []byte(digest(j.prompt)), []byte(digest(j.prompt+"other")))
	case f.Kind == FaultEarlyDone && number == f.Event+1:
		return []byte(doneMark)
	}
	return data
}

// write sends one event, changed as the fault says.
func (f *Fault) write(w http.ResponseWriter, number int, data []byte) error {
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

// cut returns the declared length and the bytes of a whole answer.
func (f *Fault) cut(body []byte) (int, []byte) {
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

// attach counts a reader of the job's answer.
func (e *Engine) attach(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers++
}

// detach uncounts a reader and cancels the job if nobody comes back for it.
func (e *Engine) detach(j *job) {
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
