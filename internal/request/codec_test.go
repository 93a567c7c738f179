package request

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validRequest = `{"key":{"id":"k","created":1700000000000,"home":"a"},"service":"s","method":"m","params":{"a":1},"timeoutMs":500,"repeatable":true}`

// TestDecodeErrorNamesField breaks one rule of a valid request at a time: the error
// names the field. It also decodes valid and invalid results.
func TestDecodeErrorNamesField(t *testing.T) {
	is := is.New(t)
	r, err := DecodeRequest([]byte(validRequest))
	is.NoErr(err)
	is.Equal(r.CreatedMs(), int64(1700000000000))
	for change, field := range map[[2]string]string{
		{`"id":"k"`, `"id":""`}:                                         "key.id",
		{`"id":"k"`, `"id":"` + strings.Repeat("x", 65) + `"`}:          "key.id",
		{`1700000000000`, `0`}:                                          "key.created",
		{`1700000000000`, `9000000000000000000`}:                        "key.created",
		{`"home":"a"`, `"home":"` + strings.Repeat("x", 129) + `"`}:     "key.home",
		{`"service":"s"`, `"service":""`}:                               "service",
		{`"method":"m"`, `"method":"` + strings.Repeat("x", 129) + `"`}: "method",
		{`{"a":1}`, `"` + strings.Repeat("x", MaxParamsBytes) + `"`}:    "params",
		{`500`, `0`}:                 "timeoutMs",
		{`500`, `30001`}:             "timeoutMs",
		{`500`, `-1`}:                "timeoutMs",
		{`"repeatable"`, `"repeat"`}: "repeat",
		{`true}`, `true}{}`}:         "after its end",
	} {
		_, err := DecodeRequest([]byte(strings.Replace(validRequest, change[0], change[1], 1)))
		is.True(InvalidError.Has(err))
		is.True(strings.Contains(err.Error(), field))
	}
	for raw, ok := range map[string]bool{
		`{"status":"answered","value":1}`:                                               true,
		`{"status":"answered","value":null}`:                                            true,
		`{"status":"answered","fault":{"code":1,"message":"m"}}`:                        true,
		`{"status":"refused","reason":"overloaded"}`:                                    true,
		`{"status":"unknown","reason":"answer lost","detail":"d"}`:                      true,
		`{"status":"answered"}`:                                                         false,
		`{"status":"answered","value":1,"fault":{"code":1,"message":"m"}}`:              false,
		`{"status":"refused"}`:                                                          false,
		`{"status":"refused","reason":"overloaded","value":1}`:                          false,
		`{"status":"done","value":1}`:                                                   false,
		`{"status":"answered","value":"` + strings.Repeat("x", MaxValueBytes) + `"}`:    false,
		`{"status":"unknown","reason":"` + strings.Repeat("x", MaxReasonBytes+1) + `"}`: false,
		`{"status":"unknown","reason":"` + strings.Repeat("x", MaxFrameBytes) + `"}`:    false,
	} {
		_, err := DecodeResult([]byte(raw))
		if (err == nil) != ok {
			t.Errorf("%.60s: %v", raw, err)
		}
	}
}

// CreatedMs returns the creation time in milliseconds, converted from nanoseconds.
func (r *Request) CreatedMs() int64 { return r.Key.CreatedAt() / 1e6 }

// roundTrip checks that a decoded value can be encoded, and that decoding and
// encoding it again gives the same bytes.
func roundTrip[T any](t *testing.T, v T, decode func([]byte) (T, error)) {
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatalf("accepted but cannot be encoded: %v", err)
	}
	decoded, err := decode(raw)
	if err != nil {
		t.Fatalf("accepted but its encoding is rejected: %v: %s", err, raw)
	}
	reencoded, err := json.Marshal(decoded)
	if err != nil || !reflect.DeepEqual(raw, reencoded) {
		t.Fatalf("%s became %s", raw, reencoded)
	}
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(validRequest))
	f.Add([]byte(`{"key":{"id":"\ud800"},"timeoutMs":1e3}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if r, err := DecodeRequest(raw); err == nil {
			roundTrip(t, r, DecodeRequest)
		}
	})
}

func FuzzDecodeResult(f *testing.F) {
	f.Add([]byte(`{"status":"answered","fault":{"code":1,"message":"m","data":[1]}}`))
	f.Add([]byte(`{"status":"unknown","reason":"answer lost"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if r, err := DecodeResult(raw); err == nil {
			roundTrip(t, r, DecodeResult)
		}
	})
}
