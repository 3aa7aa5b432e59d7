package decision

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// around is how long before and after a request's lines a change of what a
	// router believed may have to do with it.
	around = 2 * time.Second

	// longestLine bounds a line of a log, in bytes.
	longestLine = 1 << 20
)

// line is a line of a log.
type line struct {
	at      time.Time
	vm      string
	request string
	raw     string
}

// wireLine holds the fields that each line may have.
type wireLine struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"vm"`
	Request string    `json:"request"`
}

// Explain writes the story of a request: its lines from all logs in order, and
// then what the routers that had it came to believe around that time.
func Explain(out io.Writer, request string, logs ...io.Reader) error {
	var all []line
	for _, log := range logs {
		lines, err := readLines(log)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b line) int { return a.at.Compare(b.at) })
	story := slices.DeleteFunc(slices.Clone(all), func(l line) bool { return l.request != request })
	if len(story) == 0 {
		_, err := fmt.Fprintf(out, "no line about request %s\n", request)
		return wrap(err)
	}
	beliefs := slices.DeleteFunc(all, func(l line) bool { return l.request != "" || !near(l, story) })
	return wrap(printAll(out, request, story, beliefs))
}

// printAll writes the two parts of a story.
func printAll(out io.Writer, request string, story, beliefs []line) error {
	if _, err := fmt.Fprintf(out, "request %s\n", request); err != nil {
		return err
	}
	for _, l := range story {
		if _, err := fmt.Fprintln(out, " ", l.raw); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(out, "what its routers came to believe around that time"); err != nil {
		return err
	}
	for _, l := range beliefs {
		if _, err := fmt.Fprintln(out, " ", l.raw); err != nil {
			return err
		}
	}
	return nil
}

// near reports whether a line is of a router that had the request, around the
// time of one of its lines.
func near(l line, story []line) bool {
	return slices.ContainsFunc(story, func(s line) bool {
		return s.vm == l.vm && l.at.Sub(s.at).Abs() <= around
	})
}

// readLines reads a log. Lines of other programs are passed over, and so is
// what stands before the object, such as a time that a collector adds.
func readLines(log io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		text := scanner.Text()
		begin := slices.Index([]byte(text), '{')
		if begin < 0 {
			continue
		}
		var w wireLine
		if err := json.Unmarshal([]byte(text[begin:]), &w); err != nil || w.VM == "" {
			continue
		}
		lines = append(lines, line{at: w.Time, vm: w.VM, request: w.Request, raw: text[begin:]})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// wrap adds context to a failure to write.
func wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("write story: %w", err)
}
