// Package decisionlog writes an instance's log without ever delaying what it
// reports on: lines go into a bounded buffer that one goroutine writes out, and
// lines that find no room are counted and the count is logged later. Recorder
// bounds the lines about single decisions.
package decisionlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// capacity bounds what waits to be written, in bytes. It holds some 800 lines.
	capacity = 256 << 10
	// flushEvery is how long lines are gathered before they are written, which
	// saves a wake-up and a system call a line.
	flushEvery = 250 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Close writes out what waits.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line, or counts it as dropped. It reports no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.waiting)+len(line) > capacity {
		w.dropped++
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	w.signal()
	return len(line), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Close writes what waits and ends the writer, at the latest after timeout: the
// reader of the log may be stuck.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		closed := w.flush()
		if closed {
			return
		}
		time.Sleep(flushEvery)
	}
}

// flush writes what waits and reports whether the writer has been closed.
func (w *Writer) flush() bool {
	w.mu.Lock()
	lines, dropped, closed := w.waiting, w.dropped, w.closed
	w.waiting, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"time":%q,"level":"WARN","msg":"Lines were left out.","part":"log","lines":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
	w.spare = lines
	return closed
}
