package serverload

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// formatVersion is the first byte of the binary form.
	formatVersion = 1
	// durationUnit is the resolution of durations in the binary form. It halves the size
	// of a response time of 25 ms compared with nanoseconds.
	durationUnit = 100 * time.Microsecond
	// maxSamples is the largest number of samples that Decode accepts, and minSampleBytes
	// the size of the smallest sample. maxTotal limits the sums over all samples.
	maxSamples     = 2000
	maxTotal       = MaxServers * maxCount
	minSampleBytes = 6
)

// Append appends the binary form of the report, which takes at most MaxReportBytes. Of
// Samples it includes the first ones that fit. Durations are rounded to 100 µs.
//
// The form is: version (1 byte), run (8), sequence, interval, flows, requests and smallest
// Started (varints), number of samples (2), samples. A sample is: server (4), Started
// less the smallest (varint), flows<<1|active (varint) and, where active, requests,
// completed, busy and response (varints). Most samples of a short interval have flows
// only.
func (r *Report) Append(to []byte) []byte {
	base := int64(math.MaxInt64)
	for i := range r.Samples {
		base = min(base, r.Samples[i].Started)
	}
	if len(r.Samples) == 0 {
		base = 0
	}
	start := len(to)
	to = append(to, formatVersion)
	to = binary.LittleEndian.AppendUint64(to, r.Run)
	to = binary.AppendUvarint(to, r.Sequence)
	to = appendDuration(to, r.Interval)
	flows, requests := r.totals()
	to = binary.AppendUvarint(to, uint64(max(r.Flows, flows)))
	to = binary.AppendUvarint(to, uint64(max(r.Requests, requests)))
	to = binary.AppendUvarint(to, uint64(base))
	count := len(to)
	to = append(to, 0, 0)
	n := 0
	for i := range r.Samples {
		next := r.Samples[i].append(to, base)
		if len(next)-start > MaxReportBytes {
			break
		}
		to = next
		n++
	}
	binary.LittleEndian.PutUint16(to[count:], uint16(n))
	return to
}

func (s *Sample) append(to []byte, base int64) []byte {
	to = binary.LittleEndian.AppendUint32(to, s.Server)
	to = binary.AppendUvarint(to, uint64(s.Started-base))
	if s.Requests == 0 && s.Completed == 0 && s.Busy == 0 && s.Response == 0 {
		return binary.AppendUvarint(to, uint64(s.Flows)<<1)
	}
	to = binary.AppendUvarint(to, uint64(s.Flows)<<1|1)
	to = binary.AppendUvarint(to, uint64(s.Requests))
	to = binary.AppendUvarint(to, uint64(s.Completed))
	to = appendDuration(to, s.Busy)
	return appendDuration(to, s.Response)
}

func appendDuration(to []byte, d time.Duration) []byte {
	return binary.AppendUvarint(to, uint64(d.Round(durationUnit)/durationUnit))
}

// Decode decodes the result of Append. Its errors are of class Invalid and name the field.
func Decode(data []byte) (Report, error) {
	if len(data) > MaxReportBytes {
		return Report{}, Invalid.New("size: %d bytes, at most %d are allowed", len(data), MaxReportBytes)
	}
	d := decoder{data: data, sample: -1}
	if v := d.bytes("version", 1); d.err == nil && v[0] != formatVersion {
		return Report{}, Invalid.New("version: %d is not supported", v[0])
	}
	var r Report
	if v := d.bytes("run", 8); d.err == nil {
		r.Run = binary.LittleEndian.Uint64(v)
	}
	r.Sequence = d.number("sequence", math.MaxUint64)
	r.Interval = d.duration("interval")
	if d.err == nil && r.Interval < minInterval {
		d.fail("interval", "%v is too short", r.Interval)
	}
	r.Flows = int(d.number("flows", maxTotal))
	r.Requests = int(d.number("requests", maxTotal))
	base := d.number("started", math.MaxInt64)
	n := 0
	if v := d.bytes("samples", 2); d.err == nil {
		n = int(binary.LittleEndian.Uint16(v))
	}
	if n > maxSamples || n*minSampleBytes > len(d.data) {
		d.fail("samples", "%d are too many for %d bytes", n, len(d.data))
	}
	if d.err == nil {
		r.Samples = make([]Sample, 0, n)
	}
	for d.sample = 0; d.sample < n && d.err == nil; d.sample++ {
		r.Samples = append(r.Samples, d.decodeSample(base))
	}
	d.sample = -1
	if d.err == nil && len(d.data) > 0 {
		d.fail("samples", "%d trailing bytes", len(d.data))
	}
	if d.err == nil {
		d.refuseDuplicates(r.Samples)
	}
	if flows, requests := r.totals(); r.Flows < flows {
		d.fail("flows", "%d, but the samples have %d", r.Flows, flows)
	} else if r.Requests < requests {
		d.fail("requests", "%d, but the samples have %d", r.Requests, requests)
	}
	if d.err != nil {
		return Report{}, d.err
	}
	return r, nil
}

// decoder reads fields from data until the first error.
type decoder struct {
	data   []byte
	sample int // index of the sample that is read, or -1
	err    error
}

func (d *decoder) fail(field, format string, args ...any) {
	if d.err != nil {
		return
	}
	if d.sample >= 0 {
		field = fmt.Sprintf("samples[%d].%s", d.sample, field)
	}
	d.err = Invalid.New("%s: %s", field, fmt.Sprintf(format, args...))
}

// bytes returns the next n bytes; it returns n zero bytes after an error.
func (d *decoder) bytes(field string, n int) []byte {
	if len(d.data) < n {
		d.fail(field, "missing")
	}
	if d.err != nil {
		return make([]byte, n)
	}
	v := d.data[:n]
	d.data = d.data[n:]
	return v
}

func (d *decoder) number(field string, limit uint64) uint64 {
	if d.err != nil {
		return 0
	}
	v, n := binary.Uvarint(d.data)
	switch {
	case n == 0:
		d.fail(field, "missing")
	case n < 0 || v > limit:
		d.fail(field, "out of range")
	default:
		d.data = d.data[n:]
		return v
	}
	return 0
}

func (d *decoder) duration(field string) time.Duration {
	return time.Duration(d.number(field, uint64(maxDuration/durationUnit))) * durationUnit
}

func (d *decoder) decodeSample(base uint64) Sample {
	var s Sample
	s.Server = binary.LittleEndian.Uint32(d.bytes("server", 4))
	s.Started = int64(base + d.number("started", math.MaxInt64-base))
	flows := d.number("flows", maxCount<<1|1)
	s.Flows = int(flows >> 1)
	if flows&1 == 0 {
		return s
	}
	s.Requests = int(d.number("requests", maxCount))
	s.Completed = int(d.number("completed", maxCount))
	s.Busy = d.duration("busy")
	s.Response = d.duration("response")
	return s
}

func (d *decoder) refuseDuplicates(samples []Sample) {
	servers := make([]uint32, len(samples))
	for i := range samples {
		servers[i] = samples[i].Server
	}
	slices.Sort(servers)
	for i := 1; i < len(servers); i++ {
		if servers[i] == servers[i-1] {
			d.fail("samples", "server %08x is repeated", servers[i])
		}
	}
}
