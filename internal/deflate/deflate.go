// Package deflate compresses messages between instances. The first byte of a message
// must be below 0x80 and is not compressed. Its highest bit is set if the rest of the
// message is compressed.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/zeebo/errs"
)

// Malformed is the class of errors for data that cannot be decompressed.
var Malformed = errs.Class("deflate: malformed")

// compressedFlag is set in the first byte if the rest of the message is compressed.
const compressedFlag = 0x80

// compressors pools compressors, because their state is large.
var compressors = sync.Pool{New: func() any {
	// NewWriter fails only for an unknown level.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// Pack returns the message with all but its first byte compressed, or the message
// itself if compression does not shorten it. The message must not be empty.
func Pack(plain []byte) []byte {
	var out bytes.Buffer
	out.WriteByte(plain[0] | compressedFlag)
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	// Writing to a bytes.Buffer does not fail.
	_, _ = w.Write(plain[1:])
	_ = w.Close()
	if out.Len() >= len(plain) {
		return plain
	}
	return out.Bytes()
}

// Unpack reverses Pack. It returns Malformed for invalid data, and if the rest of the
// message decompresses to more than maxBytes.
func Unpack(data []byte, maxBytes int) ([]byte, error) {
	if len(data) == 0 || data[0]&compressedFlag == 0 {
		return data, nil
	}
	compressed := bytes.NewReader(data[1:])
	rest, err := io.ReadAll(io.LimitReader(flate.NewReader(compressed), int64(maxBytes)+1))
	if err != nil {
		return nil, Malformed.Wrap(err)
	}
	if len(rest) > maxBytes {
		return nil, Malformed.New("decompressed data over %d bytes", maxBytes)
	}
	if compressed.Len() > 0 {
		return nil, Malformed.New("%d bytes after the end of the compressed data", compressed.Len())
	}
	return append([]byte{data[0] &^ compressedFlag}, rest...), nil
}
