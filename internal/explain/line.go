// Package explain reads the logs of instances and reconstructs the history of one
// flow: the decisions about it in order, the state of the involved servers as the
// instances saw it, and the gaps in the logs. It does no I/O except through the
// given reader and writer.
package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors when reading logs.
var Error = errs.Class("explain")

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one line of an instance's log. Fields that the line does not have are
// empty.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Part     string    `json:"part"`
	Message  string    `json:"msg"`

	Flow           string   `json:"flow"`
	To             string   `json:"to"`
	Copy           int      `json:"copy"`
	Action         string   `json:"action"`
	Reason         string   `json:"reason"`
	Service        string   `json:"service"`
	Tier           string   `json:"tier"`
	Server         string   `json:"server"`
	Unanswered     string   `json:"unanswered"`
	State          string   `json:"state"`
	Source         string   `json:"source"`
	Evidence       string   `json:"evidence"`
	DataCentre     string   `json:"data_centre"`
	Error          string   `json:"error"`
	Version        *int64   `json:"version"`
	Epoch          *uint64  `json:"epoch"`
	Revision       *uint64  `json:"revision"`
	AgeMS          *int64   `json:"age_ms"`
	AfterMS        *float64 `json:"after_ms"`
	Load           *float64 `json:"load"`
	LoadAgeMS      *int64   `json:"load_age_ms"`
	OverflowFrom   string   `json:"overflow_from"`
	AdmittedPart   *float64 `json:"admitted_part"`
	Slots          *int     `json:"slots"`
	Senders        *int     `json:"senders"`
	Speed          *float64 `json:"speed"`
	ResponseMS     *float64 `json:"response_ms"`
	Accounts       *int     `json:"accounts"`
	SilentMS       *int64   `json:"silent_ms"`
	Evacuated      *bool    `json:"evacuated"`
	ReachesServers *bool    `json:"reaches_servers"`
	// Count is the number of omitted decisions, Lines that of omitted lines.
	Count int `json:"count"`
	Lines int `json:"lines"`
}

// reportsOmission reports whether a line says that other lines were omitted.
func (l *Line) reportsOmission() bool { return l.Count > 0 || l.Lines > 0 }

// Read returns the lines of a log, and the number of lines that could not be
// decoded. Text before the JSON of a line, such as a collector's prefix, is
// skipped.
func Read(r io.Reader) (lines []Line, unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
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
