// Standin2 plays the cases of the second review: a store, runners and consumers as the pages
// describe them, around real routers.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by their names.
var cases = map[string]func(*world){
	"entry": caseEntry, "drill": caseDrill, "regress": caseRegress, "stop": caseStop, "upload": caseUpload,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fail(fmt.Errorf("no case %q", *name))
	}
	w := newWorld(*root, *record, os.Getenv("TROUBLE") != "0")
	w.checkHost()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.end()
		os.Exit(2)
	}()
	play(w)
	w.finish()
}

// route returns a route of a config.
func route(name, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "app.example", "path-prefix": "/" + name + "/", "kind": kind, "service": service,
		"timeout-ms": 1500, "target-latency-ms": 100, "priority": 0, "max-attempts": 1, "public": true,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// config returns a config.
func config(version int, routes []map[string]any, tenants []map[string]any) map[string]any {
	c := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "plots", "health-path": "/health"}, {"name": "plots-new", "health-path": "/health"}, {"name": "llm", "health-path": "/health"}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	return c
}
