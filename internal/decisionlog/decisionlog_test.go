package decisionlog

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBlockedReaderDoesNotBlockWriter writes to a pipe that is not read.
func TestBlockedReaderDoesNotBlockWriter(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	w := NewWriter(writer)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	start := time.Now()
	for range 10 * bufferBytes / len(line) {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(time.Since(start) < time.Second) // 10 times the size of the buffer
	w.mu.Lock()
	pending, dropped := len(w.pending), w.dropped
	w.mu.Unlock()
	is.True(pending <= bufferBytes)
	is.True(dropped > 0)

	start = time.Now()
	w.Close(50 * time.Millisecond)
	is.True(time.Since(start) < time.Second)
	is.NoErr(reader.Close())
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func TestCloseWritesBufferedLines(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	w := NewWriter(&out)
	_, _ = w.Write([]byte("one\n"))
	_, _ = w.Write([]byte("two\n"))
	w.Close(time.Second)
	is.Equal(out.String(), "one\ntwo\n")
}

func TestDroppedLinesAreCounted(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	w := &Writer{out: &out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	for range bufferBytes/100 + 7 {
		_, _ = w.Write(bytes.Repeat([]byte("x"), 100))
	}
	w.flush()
	is.True(strings.Contains(out.String(), `"lines":`))
}

func TestRecorderLimitsRate(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := NewRecorder(slog.New(slog.NewJSONHandler(&out, nil)))
	now := int64(5 * time.Second)
	admitted := 0
	for range 1000 {
		if r.Admit(now) {
			admitted++
		}
	}
	is.Equal(admitted, LinesPerSecond)
	is.True(r.Admit(now + int64(time.Second)))
	is.True(strings.Contains(out.String(), fmt.Sprintf(`"count":%d`, 1000-LinesPerSecond))) // the number of omitted decisions is logged
}
