// Command standin plays the cases of this review: it stands in for the platform's store, its
// operator, the backend servers and the callers, and starts the routers as separate processes.
package main

import (
	"errors"
	"fmt"
	"os"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment) (broken bool, err error){
	"restored-store":  playRestoredStore,
	"back-entry":      playBackEntry,
	"last-tenant":     playLastTenant,
	"silent-runner":   playSilentRunner,
	"unframed-stream": playUnframedStream,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status: 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
func play(name, folder string) int {
	d, err := newDeployment(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	broken, err := cases[name](d)
	var cannot errCannotRun
	switch {
	case errors.As(err, &cannot), err != nil:
		d.sayf("could not run: %v", err)
		return 2
	case broken:
		d.sayf("BROKEN")
		return 1
	}
	d.sayf("held")
	return 0
}
