package link

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

func FuzzCodec(f *testing.F) {
	var whole bytes.Buffer
	is.New(f).NoErr(codec{limit: 64}.WriteObject(&whole, map[string]int{"a": 1}))
	f.Add(whole.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, '{'})
	f.Fuzz(func(t *testing.T, data []byte) {
		var v json.RawMessage
		c := codec{limit: 64}
		err := c.ReadObject(bufio.NewReader(bytes.NewReader(data)), &v)
		if err == nil && (!json.Valid(v) || len(v) > 64) {
			t.Fatalf("read %q", v)
		}
	})
}
