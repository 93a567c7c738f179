// Package decisionlog writes an instance's log without blocking the goroutines that
// log: lines go into a bounded buffer that a goroutine writes out. Lines that do not
// fit are dropped, and their number is logged later. Recorder limits the rate of
// lines about single decisions.
package decisionlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes is the size of the buffer of unwritten lines, about 800 lines.
	bufferBytes = 256 << 10
	// flushInterval is the time between two writes. Batching the lines avoids a
	// wake-up and a system call for each.
	flushInterval = 250 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Close writes the buffered lines.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops and counts it if the buffer is full or the
// writer is closed. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > bufferBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.signal()
	return len(line), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Close writes the buffered lines and stops the writer. It returns after timeout at
// the latest, because the reader of the log may block.
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
		time.Sleep(flushInterval)
	}
}

// flush writes the buffered lines and reports whether the writer has been closed.
func (w *Writer) flush() bool {
	w.mu.Lock()
	lines, dropped, closed := w.pending, w.dropped, w.closed
	w.pending, w.dropped = w.spare[:0], 0
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
