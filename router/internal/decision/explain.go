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
	// timeWindow is the time before and after a request's lines in which
	// changes of a router's state may be related to it.
	timeWindow = 2 * time.Second

	// maxLineBytes bounds a line of a log, in bytes.
	maxLineBytes = 1 << 20
)

// line is a line of a log.
type line struct {
	at      time.Time
	vm      string
	request string
	raw     string
}

// lineFields holds the fields that each line may have.
type lineFields struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"vm"`
	Request string    `json:"request"`
}

// Explain writes what the logs say about a request: its lines from all logs in
// order of time, and then the state changes of the routers that handled it
// around that time.
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
	requestLines := slices.DeleteFunc(slices.Clone(all), func(l line) bool { return l.request != request })
	if len(requestLines) == 0 {
		_, err := fmt.Fprintf(out, "no line about request %s\n", request)
		return wrapWriteError(err)
	}
	changes := slices.DeleteFunc(all, func(l line) bool { return l.request != "" || !related(l, requestLines) })
	return wrapWriteError(printLines(out, request, requestLines, changes))
}

// printLines writes the lines of a request and the related state changes.
func printLines(out io.Writer, request string, requestLines, changes []line) error {
	if _, err := fmt.Fprintf(out, "request %s\n", request); err != nil {
		return err
	}
	for _, l := range requestLines {
		if _, err := fmt.Fprintln(out, " ", l.raw); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(out, "state changes of its routers around that time"); err != nil {
		return err
	}
	for _, l := range changes {
		if _, err := fmt.Fprintln(out, " ", l.raw); err != nil {
			return err
		}
	}
	return nil
}

// related reports whether a line is from a router that handled the request,
// within timeWindow of one of the request's lines.
func related(l line, requestLines []line) bool {
	return slices.ContainsFunc(requestLines, func(r line) bool {
		return r.vm == l.vm && l.at.Sub(r.at).Abs() <= timeWindow
	})
}

// readLines reads a log. It skips the lines of other programs, and what
// precedes the JSON object in a line, such as a time that a log collector adds.
func readLines(log io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		begin := slices.Index([]byte(text), '{')
		if begin < 0 {
			continue
		}
		var fields lineFields
		if err := json.Unmarshal([]byte(text[begin:]), &fields); err != nil || fields.VM == "" {
			continue
		}
		lines = append(lines, line{at: fields.Time, vm: fields.VM, request: fields.Request, raw: text[begin:]})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// wrapWriteError adds context to a write error.
func wrapWriteError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("write explanation: %w", err)
}
