// Standin-3 holds the stand-ins and the plays of the cases review/11 to review/15. It starts the
// project's own routers as processes, and plays their store, runners and consumers.
//
//	standin-3 CASE FOLDER
//
// It is run from the root of the repository, and writes FOLDER/record.txt. It exits with 1 if the
// rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the environment
// there is no disruption.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// memoryMB is the memory of a machine, as on the sheets of the small installations.
const memoryMB = 284

// world is a small installation.
type world struct {
	folder  string
	host    string
	store   *store
	seeds   []string
	trouble bool

	mu      sync.Mutex
	routers []*router
	record  *os.File
	start   time.Time
}

var theWorld *world

// plays are the cases by their names. Each returns what broke the rule, or an empty text.
var plays = map[string]func(w *world) string{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: record, start: time.Now()}
	theWorld = w
	w.host = freeHost()
	w.store = startStore(w.ip(1) + ":0")
	time.AfterFunc(115*time.Second, func() { cannotRun("out of time") })
	broken := plays[os.Args[1]](w)
	if broken != "" {
		w.note("BROKEN: %s", broken)
		w.end(1)
	}
	w.note("the rule held")
	w.end(0)
}

// freeHost returns the first three numbers of loopback addresses at which the ports are free.
func freeHost() string {
	for range 50 {
		host := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.10:%d", host, callerPort))
		if err == nil {
			_ = l.Close()
			return host
		}
	}
	cannotRun("no free loopback addresses")
	return ""
}

// ip returns a loopback address of the world.
func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.host, n) }

// seedsOf names the first n routers, at most three, as seeds.
func (w *world) seedsOf(n int) {
	for i := range min(n, 3) {
		w.seeds = append(w.seeds, fmt.Sprintf("%s:%d", w.ip(10+i), controlPort))
	}
}

// startRouters starts n routers and waits until they are ready.
func (w *world) startRouters(n int) []*router {
	w.seedsOf(n)
	var all []*router
	for i := range n {
		all = append(all, w.startRouter(i))
	}
	for _, r := range all {
		r.awaitReady()
	}
	w.note("%d routers are ready", n)
	return all
}

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// end ends all processes and exits.
func (w *world) end(code int) {
	w.mu.Lock()
	for _, r := range w.routers {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-r.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Fprintln(os.Stderr, w.folder)
	}
	os.Exit(code)
}

// cannotRun ends a case that couldn't run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if theWorld == nil {
		os.Exit(2)
	}
	theWorld.note("could not run: "+format, args...)
	theWorld.end(2)
}
