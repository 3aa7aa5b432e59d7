// Standin2-fleet plays what the second review found with five routers that get requests: a store, runners
// and consumers as the pages describe them, around real routers.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a play.
const (
	held    = 0
	broken  = 1
	unable  = 2
	usage   = "standin2-fleet PLAY PROGRAM RECORD"
	trouble = "TROUBLE"
)

var plays = map[string]func(program, record string, trouble bool) int{
	"rest": playRest, "brittle": playBrittle, "poison": playPoison,
}

func main() {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(unable)
	}
	os.Exit(plays[os.Args[1]](os.Args[2], os.Args[3], os.Getenv(trouble) != "0"))
}
