package deflate

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPack(t *testing.T) {
	for _, c := range []struct {
		name    string
		plain   string
		shorter bool
	}{
		{"long and repetitive", "{" + strings.Repeat("server ", 1000), true},
		{"too short to compress", "{}", false},
		{"one byte", "{", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			packed := Pack([]byte(c.plain))
			is.Equal(len(packed) < len(c.plain), c.shorter)
			plain, err := Unpack(packed, len(c.plain))
			is.NoErr(err)
			is.Equal(string(plain), c.plain)
		})
	}
}

func TestUnpackRejects(t *testing.T) {
	long := Pack([]byte("{" + strings.Repeat("a", 1000)))
	for _, c := range []struct {
		name     string
		data     []byte
		maxBytes int
	}{
		{"more than allowed", long, 900},
		{"bytes after the end", append(bytes.Clone(long), 7), 1000},
		{"truncated data", long[:len(long)-2], 1000},
		{"noise", []byte{0xff, 1, 2, 3}, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Unpack(c.data, c.maxBytes)
			is.True(Malformed.Has(err))
		})
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add(Pack([]byte("{" + strings.Repeat("a", 100))))
	f.Fuzz(func(t *testing.T, data []byte) {
		plain, err := Unpack(data, 1000)
		if err == nil && len(plain) > max(len(data), 1001) {
			t.Fatalf("%d bytes", len(plain))
		}
	})
}
