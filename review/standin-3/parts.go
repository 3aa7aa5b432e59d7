package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { plays["parts"] = playParts }

const (
	// firstEvent is the time that an engine takes to its first event at least.
	firstEvent = 50 * time.Millisecond

	// crowd is the number of clients at the same time. bodyBytes is the length of their bodies, and
	// manyParts the number of the parts of their prompts, with which a head stays within max-header-bytes.
	crowd     = 940
	bodyBytes = 32_000
	manyParts = 3900
)

// stream answers with events for a time.
func stream(work time.Duration, events int) func(*runner, net.Conn, *http.Request, []byte) bool {
	return func(r *runner, c net.Conn, request *http.Request, _ []byte) bool {
		r.record(c, request, true)
		id := request.Header.Get("X-Attempt-Id")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
		for i := range events {
			time.Sleep(firstEvent)
			if i > 0 {
				time.Sleep(work / time.Duration(events))
			}
			event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// The rule is broken once processes have ended endsToBreak times on machinesToBreak machines. crowdTime
// and calmCrowdTime are how long the crowd stays at a machine at most, restartDelay the time after which the
// platform starts a process again, and watchInterval how often it looks at its memory.
const (
	endsToBreak     = 3
	machinesToBreak = 2
	crowdTime       = 50 * time.Second
	calmCrowdTime   = 25 * time.Second
	restartDelay    = time.Second
	watchInterval   = 50 * time.Millisecond
)

// machine is a machine whose process the platform kills when it takes more than its memory, and starts again.
type machine struct {
	router atomic.Pointer[router]
	peak   int
	ends   int
}

// watch does the platform's part until a time, or until the process has ended often enough.
func (m *machine) watch(w *world, number int, until time.Time) {
	for ; time.Now().Before(until) && m.ends < endsToBreak; time.Sleep(watchInterval) {
		r := m.router.Load()
		mb := r.residentMB()
		m.peak = max(m.peak, mb)
		if mb <= memoryMB && !r.hasEnded() {
			continue
		}
		r.signal(syscall.SIGKILL)
		<-r.ended
		m.ends++
		w.note("machine %d: the process has %d MB of %d and is killed, end %d", number, mb, memoryMB, m.ends)
		time.Sleep(restartDelay)
		m.router.Store(w.startRouter(number))
	}
}

// playParts has a crowd send streaming requests of legal size whose prompts have very many parts, to one machine
// after the other.
func playParts(w *world) string {
	w.putConfig(1, []map[string]any{route("chat", "streaming", "llm", 1, map[string]any{"target-gap-ms": 3000, "sticky": true, "target-latency-ms": 4000})},
		[]map[string]any{engineService("llm", 64)}, "key-1")
	for i := range 18 {
		startRunner(w.store, fmt.Sprintf("llm-%d", i), "llm", freeAddress(w.ip(100+i)), 64, stream(9*time.Second, 6))
	}
	machines := make([]machine, machinesToBreak)
	for i, r := range w.startRouters(machinesToBreak) {
		machines[i].router.Store(r)
	}
	var statuses [600]atomic.Int64
	broken := 0
	for i := range machines {
		m := &machines[i]
		length := crowdTime
		if !w.trouble {
			length = calmCrowdTime
		}
		var over atomic.Bool
		var wait sync.WaitGroup
		for member := range crowd {
			wait.Go(func() { sendMember(w, m, member, &over, &statuses) })
		}
		m.watch(w, i, time.Now().Add(length))
		over.Store(true)
		m.router.Load().signal(syscall.SIGKILL) // The crowd leaves at once; this end isn't counted.
		wait.Wait()
		w.note("machine %d: peak %d MB of %d, %d ends", i, m.peak, memoryMB, m.ends)
		if m.ends >= endsToBreak {
			broken++
		}
	}
	for status := range statuses {
		if n := statuses[status].Load(); n > 0 {
			w.note("answered %d: %d (0: no answer)", status, n)
		}
	}
	if broken >= machinesToBreak {
		return fmt.Sprintf("on %d of %d machines the process took more than %d MB and ended %d times", broken, len(machines), memoryMB, endsToBreak)
	}
	return ""
}

// sendMember sends the requests of one client, until the crowd is over.
func sendMember(w *world, m *machine, member int, over *atomic.Bool, statuses *[600]atomic.Int64) {
	rest := ",2:50,3:20"
	if w.trouble {
		rest = strings.Repeat(",1:1", manyParts)
	}
	body := strings.Repeat("x", bodyBytes)
	for ; !over.Load(); time.Sleep(100 * time.Millisecond) {
		c, err := net.DialTimeout("tcp4", m.router.Load().front(), time.Second)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(c, head("POST", "/chat/x", nextID(), 12*time.Second, "X-Model: m", "X-Token-Usage: 4000,40",
			fmt.Sprintf("X-Prompt-Prefix: %x:10%s", member+16, rest), fmt.Sprintf("Content-Length: %d", len(body)))+"\r\n"+body)
		_ = c.SetDeadline(time.Now().Add(13 * time.Second))
		got := readAnswer(bufio.NewReader(c))
		statuses[got.status].Add(1)
		_ = c.Close()
	}
}
