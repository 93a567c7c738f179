// Package deflate compresses messages between instances. The first byte of a message
// is below 0x80 and stays in place; with its highest bit set it marks a message whose
// rest is compressed.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/zeebo/errs"
)

// Malformed is the class of errors for what can't be unpacked.
var Malformed = errs.Class("deflate: malformed")

// mark is the bit of the first byte that says that the rest is compressed.
const mark = 0x80

// writers keeps compressors, which are large.
var writers = sync.Pool{New: func() any {
	// An error is for an unknown level only.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// Pack returns the message with all but its first byte compressed, or the message
// itself if that is not shorter. The message must not be empty.
func Pack(plain []byte) []byte {
	var out bytes.Buffer
	out.WriteByte(plain[0] | mark)
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

// Unpack undoes Pack. It returns Malformed for what is not of this form or expands to
// more than a number of bytes.
func Unpack(data []byte, most int) ([]byte, error) {
	if len(data) == 0 || data[0]&mark == 0 {
		return data, nil
	}
	packed := bytes.NewReader(data[1:])
	rest, err := io.ReadAll(io.LimitReader(flate.NewReader(packed), int64(most)+1))
	if err != nil {
		return nil, Malformed.Wrap(err)
	}
	if len(rest) > most {
		return nil, Malformed.New("over %d bytes", most)
	}
	if packed.Len() > 0 {
		return nil, Malformed.New("%d bytes after the end", packed.Len())
	}
	return append([]byte{data[0] &^ mark}, rest...), nil
}
