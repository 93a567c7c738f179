package member

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

const (
	// deflateFrom is the length from which a message is compressed, in bytes.
	deflateFrom = 256
	// deflated marks the first byte of a message whose rest is compressed.
	deflated = 0x80
	// maxInflated bounds a message after it is expanded, in bytes.
	maxInflated = 2 << 20
)

// writers keeps compressors, which are large.
var writers = sync.Pool{New: func() any {
	// An error is for an unknown level only.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// deflate returns the message with all but its first byte compressed, or the
// message itself if that is not shorter.
func deflate(plain []byte) []byte {
	var out bytes.Buffer
	out.WriteByte(plain[0] | deflated)
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	// Writing to a Buffer does not fail.
	_, _ = w.Write(plain[1:])
	_ = w.Close()
	if out.Len() >= len(plain) {
		return plain
	}
	return out.Bytes()
}

// inflate undoes deflate.
func inflate(data []byte) ([]byte, error) {
	packed := bytes.NewReader(data[1:])
	rest, err := io.ReadAll(io.LimitReader(flate.NewReader(packed), maxInflated+1))
	if err != nil {
		return nil, Malformed.Wrap(err)
	}
	if len(rest) > maxInflated {
		return nil, Malformed.New("over %d bytes", maxInflated)
	}
	if packed.Len() > 0 {
		return nil, Malformed.New("%d bytes after the end", packed.Len())
	}
	return append([]byte{data[0] &^ deflated}, rest...), nil
}
