package sharedrate_test

import (
	"context"
	"sync"
	"time"

	"snipetally.example/router/internal/sharedrate"
)

const (
	// workTime is how long a server works on a request, and awayTime how long one that fell over
	// is away.
	workTime = 100 * time.Millisecond
	awayTime = 3 * time.Second

	// longQueue is the number of requests that wait at a server at most that is not brittle, or only
	// for less than stableTime.
	longQueue = 16
)

// brittleServer is a server that falls over if it rejects too many requests in a second while it
// is brittle. It is back in a new lifetime, under another key.
type brittleServer struct {
	slots int

	// mu guards the fields below. since is when the server began to be brittle, or the zero time,
	// and tolerated the number of requests that it can reject in a second. running counts the
	// requests that it works on and those that wait. fallen is closed when it falls over, and belongs to a
	// lifetime. rejections are the last rejections, and whether their routers were in touch.
	mu         sync.Mutex
	key        sharedrate.Key
	since      time.Time
	tolerated  int
	running    int
	away       bool
	fallen     chan struct{}
	rejections []rejection

	// falls counts the falls for which routers in touch are to blame, and served the requests that were
	// served, by the second.
	falls  int
	served int
}

// rejection is a request that was turned away.
type rejection struct {
	at      time.Time
	inTouch bool
}

// newBrittleServer returns a server that is not brittle.
func newBrittleServer(key sharedrate.Key, slots int) *brittleServer {
	return &brittleServer{key: key, slots: slots, fallen: make(chan struct{})}
}

// begin lets the server be brittle, and end ends that.
func (s *brittleServer) begin(tolerated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.tolerated, s.rejections = time.Now(), tolerated, nil
}

func (s *brittleServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Time{}
}

// lifetime returns the key of the present lifetime.
func (s *brittleServer) lifetime() sharedrate.Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key
}

// counts returns the numbers of falls and of requests that were served.
func (s *brittleServer) counts() (falls, served int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.falls, s.served
}

// serve works on a request for one lifetime until its router closes the connection, and returns what
// the router learns.
func (s *brittleServer) serve(router context.Context, key sharedrate.Key, inTouch bool) (ending sharedrate.Ending, said sharedrate.Brittleness) {
	s.mu.Lock()
	if s.away || s.key != key {
		s.mu.Unlock()
		return sharedrate.Lost, said
	}
	said = s.said()
	if s.running >= s.slots+s.queue() {
		s.reject(inTouch)
		away := s.away
		s.mu.Unlock()
		if away {
			return sharedrate.Lost, said
		}
		return sharedrate.Rejected, said
	}
	ahead := max(s.running-s.slots+1, 0)
	s.running++
	fallen := s.fallen
	s.mu.Unlock()
	work := time.NewTimer(workTime + workTime*time.Duration(ahead)/time.Duration(s.slots))
	defer work.Stop()
	select {
	case <-fallen:
		return sharedrate.Lost, said
	case <-router.Done():
		ending = sharedrate.Lost
	case <-work.C:
		ending = sharedrate.Finished
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fallen == s.fallen {
		s.running--
	}
	if ending == sharedrate.Finished {
		s.served++
	}
	return ending, s.said()
}

// said returns what the server says in its responses. The caller holds s.mu.
func (s *brittleServer) said() sharedrate.Brittleness {
	return sharedrate.Brittleness{Brittle: !s.since.IsZero(), Tolerated: s.tolerated}
}

// queue returns the number of requests that may wait. The caller holds s.mu.
func (s *brittleServer) queue() int {
	if !s.since.IsZero() && time.Since(s.since) >= stableTime {
		return 0
	}
	return longQueue
}

// reject turns a request away. The caller holds s.mu.
func (s *brittleServer) reject(inTouch bool) {
	now := time.Now()
	s.rejections = append(s.rejections, rejection{at: now, inTouch: inTouch})
	for now.Sub(s.rejections[0].at) > time.Second {
		s.rejections = s.rejections[1:]
	}
	if s.since.IsZero() || len(s.rejections) <= s.tolerated {
		return
	}
	blamed := 0
	for _, each := range s.rejections {
		if each.inTouch {
			blamed++
		}
	}
	if 2*blamed > len(s.rejections) {
		s.falls++
	}
	s.away, s.running, s.rejections = true, 0, nil
	close(s.fallen)
	time.AfterFunc(awayTime, s.restart)
}

// restart begins a new lifetime.
func (s *brittleServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.fallen = false, make(chan struct{})
	s.key += 1 << 32
}

// crash ends the server without the fault of routers.
func (s *brittleServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	s.away, s.running, s.rejections = true, 0, nil
	close(s.fallen)
	time.AfterFunc(awayTime, s.restart)
}
