package link

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

// codec is a jsonrpc2.VarintObjectCodec with a limit on the size of received
// messages, in bytes.
type codec struct {
	jsonrpc2.VarintObjectCodec
	limit uint64
}

// ReadObject reads one message. It returns TooLarge without reading the message if
// its announced size exceeds the limit.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > c.limit {
		return TooLarge.New("%d bytes announced, %d allowed", size, c.limit)
	}
	data, err := io.ReadAll(io.LimitReader(stream, int64(size)))
	if err != nil {
		return err
	}
	if uint64(len(data)) < size {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, v)
}
