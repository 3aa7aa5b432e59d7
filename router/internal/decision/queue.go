package decision

import (
	"bytes"
	"io"
)

// queueLength is the largest number of lines that wait for the output. A list of a few thousand new
// servers, with a line each, is logged faster than it is written.
const queueLength = 4096

// lineQueue passes lines to a goroutine that writes them to an output. Write never waits for
// the output: when the queue is full, the oldest line in it is dropped.
type lineQueue struct {
	out   io.Writer
	lines chan []byte

	// onDrop is called for each line that is dropped.
	onDrop func()

	// closing is closed by Close, and written when all lines are written after that.
	closing chan struct{}
	written chan struct{}
}

// newLineQueue returns an empty queue and starts to write its lines.
func newLineQueue(out io.Writer, onDrop func()) *lineQueue {
	q := &lineQueue{
		out:     out,
		lines:   make(chan []byte, queueLength),
		onDrop:  onDrop,
		closing: make(chan struct{}),
		written: make(chan struct{}),
	}
	go q.writeLines()
	return q
}

// Write implements io.Writer. It takes one line.
func (q *lineQueue) Write(line []byte) (int, error) {
	line = bytes.Clone(line) // The logger uses its buffer again.
	for {
		select {
		case q.lines <- line:
			return len(line), nil
		default:
		}
		select {
		case <-q.lines:
			q.onDrop()
		default: // There is room by now.
		}
	}
}

// Close writes the lines that are waiting. It must be called once only; lines that are logged
// later are not written.
func (q *lineQueue) Close() error {
	close(q.closing)
	<-q.written
	return nil
}

// writeLines writes lines until the queue is closed and empty.
func (q *lineQueue) writeLines() {
	defer close(q.written)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case <-q.closing:
			q.writeWaiting()
			return
		}
	}
}

// writeWaiting writes the lines that are waiting.
func (q *lineQueue) writeWaiting() {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line. An error has no place to go: the output is the log.
func (q *lineQueue) writeLine(line []byte) { _, _ = q.out.Write(line) }
