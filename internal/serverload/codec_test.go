package serverload

import (
	"encoding/binary"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var anyDuration = rapid.Custom(func(t *rapid.T) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(maxDuration/durationUnit)).Draw(t, "duration")) * durationUnit
})

var anySample = rapid.Custom(func(t *rapid.T) Sample {
	s := Sample{
		Server: rapid.Uint32().Draw(t, "server"), Started: rapid.Int64Min(0).Draw(t, "started"),
		Flows: rapid.IntRange(0, maxCount).Draw(t, "flows"),
	}
	if rapid.Bool().Draw(t, "active") {
		s.Requests = rapid.IntRange(0, maxCount).Draw(t, "requests")
		s.Completed = rapid.IntRange(0, maxCount).Draw(t, "completed")
		s.Busy, s.Response = anyDuration.Draw(t, "busy"), anyDuration.Draw(t, "response")
	}
	return s
})

var anyReport = rapid.Custom(func(t *rapid.T) Report {
	r := Report{
		Run: rapid.Uint64().Draw(t, "run"), Sequence: rapid.Uint64().Draw(t, "sequence"),
		Interval: max(anyDuration.Draw(t, "interval"), minInterval),
		Samples:  rapid.SliceOfNDistinct(anySample, 0, 150, func(s Sample) uint32 { return s.Server }).Draw(t, "samples"),
	}
	r.Flows, r.Requests = r.totals()
	return r
})

// A report that arrives differs from the one sent only in the samples that do not fit.
func TestReportsAreBoundedAndReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		r := anyReport.Draw(t, "report")
		data := r.Append([]byte("prefix"))[len("prefix"):]
		is.True(len(data) <= MaxReportBytes)
		got, err := Decode(data)
		is.NoErr(err)
		fit := len(got.Samples)
		is.True(fit == len(r.Samples) || len(data) > MaxReportBytes-50)
		r.Samples = r.Samples[:fit]
		is.Equal(got, r)
	})
}

// Failure: a message of another version or with absurd numbers.
func TestDecodeRefusesOtherVersionsAndAbsurdNumbers(t *testing.T) {
	numbers := func(values ...uint64) []byte {
		var b []byte
		for _, v := range values {
			b = binary.AppendUvarint(b, v)
		}
		return b
	}
	hour := uint64(maxDuration / durationUnit)
	// report returns a report of the given sequence and later numbers, and its samples.
	report := func(interval, base uint64, samples ...[]byte) []byte {
		b := append([]byte{formatVersion, 1, 2, 3, 4, 5, 6, 7, 8}, numbers(1, interval, 4, 1, base)...)
		b = binary.LittleEndian.AppendUint16(b, uint16(len(samples)))
		for i, s := range samples {
			b = append(binary.LittleEndian.AppendUint32(b, uint32(i/2)), s...)
		}
		return b
	}
	good := report(5000, 0, numbers(0, 4))
	_, err := Decode(good)
	is.New(t).NoErr(err)
	for name, tc := range map[string]struct {
		data  []byte
		field string
	}{
		"empty":             {nil, "version"},
		"another version":   {append([]byte{formatVersion + 1}, good[1:]...), "version"},
		"cut off":           {report(5000, 0, numbers(0, 3, 1, 1)), "samples[0].busy"},
		"trailing byte":     {append(good[:len(good):len(good)], 0), "samples"},
		"too large":         {make([]byte, MaxReportBytes+1), "size"},
		"no interval":       {report(0, 0), "interval"},
		"long interval":     {report(hour+1, 0), "interval"},
		"negative start":    {report(5000, 1<<63), "started"},
		"overflowing start": {report(5000, math.MaxInt64, numbers(1, 4)), "samples[0].started"},
		"many samples":      {append(report(5000, 0)[:15], 0xff, 0xff), "samples"},
		"missing samples":   {append(report(5000, 0)[:15], 2, 0), "samples"},
		"flows":             {report(5000, 0, numbers(0, (maxCount+1)<<1)), "samples[0].flows"},
		"negative flows":    {report(5000, 0, numbers(0, math.MaxUint64)), "samples[0].flows"},
		"requests":          {report(5000, 0, numbers(0, 3, maxCount+1, 1, 1, 1)), "samples[0].requests"},
		"completed":         {report(5000, 0, numbers(0, 3, 1, maxCount+1, 1, 1)), "samples[0].completed"},
		"busy":              {report(5000, 0, numbers(0, 3, 1, 1, hour+1, 1)), "samples[0].busy"},
		"response":          {report(5000, 0, numbers(0, 3, 1, 1, 1, hour+1)), "samples[0].response"},
		"number too long":   {report(5000, 0, numbers(0), []byte{0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 1}), "started"},
		"repeated server":   {report(5000, 0, numbers(0, 4), numbers(0, 4)), "samples"},
		"fewer flows":       {report(5000, 0, numbers(0, 10)), "flows"},
		"fewer requests":    {report(5000, 0, numbers(0, 9, 2, 0, 0, 0)), "requests"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode(tc.data)
			is.True(Invalid.Has(err))
			is.True(strings.Contains(err.Error(), tc.field)) // the message names the field
		})
	}
}

// Guards against input from the network that crashes the decoder or is read differently
// by the next instance.
func FuzzDecode(f *testing.F) {
	r := Report{Run: 7, Sequence: 3, Interval: time.Second, Samples: []Sample{
		{Server: 1, Started: 1_700_000_000_000, Flows: 3, Requests: 2, Completed: 1, Busy: 30 * time.Millisecond, Response: 25 * time.Millisecond},
		{Server: 2, Started: 1_700_000_060_000, Flows: 1},
	}}
	f.Add(r.Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			if !Invalid.Has(err) {
				t.Fatal(err)
			}
			return
		}
		// A form with another smallest start may take a little more room.
		if again, err := Decode(r.Append(nil)); err != nil || len(data) < MaxReportBytes/2 && len(again.Samples) != len(r.Samples) {
			t.Fatal(r, again, err)
		}
	})
}
