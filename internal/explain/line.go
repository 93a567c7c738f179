// Package explain reads the logs of instances and puts together what they show of
// one flow: the decisions about it in order, what the instances believed of the
// servers involved, and where the logs have gaps. It does no I/O beside the reader
// it is given.
package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of reading logs.
var Error = errs.Class("explain")

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of an instance's log. Fields that a line lacks are empty.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Part     string    `json:"part"`
	Message  string    `json:"msg"`

	Flow       string   `json:"flow"`
	To         string   `json:"to"`
	Copy       int      `json:"copy"`
	Action     string   `json:"action"`
	Reason     string   `json:"reason"`
	Service    string   `json:"service"`
	Tier       string   `json:"tier"`
	Server     string   `json:"server"`
	Unanswered string   `json:"unanswered"`
	State      string   `json:"state"`
	Source     string   `json:"source"`
	Evidence   string   `json:"evidence"`
	DataCentre string   `json:"data_centre"`
	Error      string   `json:"error"`
	Version    *int64   `json:"version"`
	Revision   *uint64  `json:"revision"`
	AgeMS      *int64   `json:"age_ms"`
	AfterMS    *float64 `json:"after_ms"`
	Load       *float64 `json:"load"`
	Accounts   *int     `json:"accounts"`
	SilentMS   *int64   `json:"silent_ms"`
	Evacuated  *bool    `json:"evacuated"`
	Reaches    *bool    `json:"reaches_servers"`
	// Count and Lines say how much was left out.
	Count int `json:"count"`
	Lines int `json:"lines"`
}

// gap reports whether a line says that others were left out.
func (l *Line) gap() bool { return l.Count > 0 || l.Lines > 0 }

// Read returns the lines of a log, and how many could not be decoded. Text before
// the JSON of a line, such as a collector's prefix, is passed over.
func Read(r io.Reader) (lines []Line, unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLine), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			unreadable++
			continue
		}
		lines = append(lines, line)
	}
	return lines, unreadable, Error.Wrap(scanner.Err())
}

func parse(text []byte) (Line, bool) {
	for i, c := range text {
		if c == '{' {
			var l Line
			err := json.Unmarshal(text[i:], &l)
			return l, err == nil && !l.Time.IsZero() && l.Message != ""
		}
	}
	return Line{}, false
}
