package explain

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const firstLog = `edge-1 | {"time":"2026-12-04T06:00:00.000Z","level":"INFO","msg":"Catalogue changed.","instance":"e1","part":"catalogue","revision":9,"server":"i-1","state":"ready","source":"store","age_ms":0}
{"time":"2026-12-04T06:00:01.000Z","level":"INFO","msg":"Flow decided.","instance":"e1","part":"flows","flow":"100.64.0.7:4001","to":"198.18.0.1:443","copy":0,"action":"forward","reason":"placed","epoch":2,"revision":9,"age_ms":120,"version":7,"service":"desk","tier":"local","server":"i-1","load":0.25}
{"time":"2026-12-04T06:00:01.100Z","level":"INFO","msg":"Flow decided.","instance":"e1","part":"flows","flow":"100.64.0.7:4002","to":"198.18.0.1:443","copy":0,"action":"forward","reason":"placed","server":"i-2"}
{"time":"2026-12-04T06:00:01.150Z","level":"WARN","msg":"Backend server is suspected.","instance":"e1","part":"flows","server":"i-1","evidence":"own traffic","accounts":2,"silent_ms":900}
{"time":"2026-12-04T06:00:01.160Z","level":"WARN","msg":"Backend server is suspected.","instance":"e1","part":"flows","server":"i-9","evidence":"peers"}
not a line
{"time":"2026-12-04T06:00:02.000Z","level":"INFO","msg":"Omitted decisions over the log rate limit.","instance":"e1","part":"flows","count":12}
`

const secondLog = `{"time":"2026-12-04T06:00:01.200Z","level":"INFO","msg":"Flow decided.","instance":"e2","part":"flows","flow":"100.64.0.7:4001","to":"198.18.0.1:443","copy":1,"action":"forward","reason":"moved","server":"i-2","unanswered":"i-1"}
`

func read(t *testing.T, text string) []Line {
	lines, _, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func TestExplainAcrossTwoInstances(t *testing.T) {
	is := is.New(t)
	lines, unreadable, err := Read(strings.NewReader(firstLog))
	is.NoErr(err)
	is.Equal(unreadable, 1)
	r := Explain(append(read(t, secondLog), lines...), Query{Flow: "100.64.0.7:4001"})
	is.Equal(len(r.Decisions), 2)
	is.Equal(r.Decisions[1].Instance, "e2") // sorted by time
	is.Equal(len(r.Context), 2)             // of i-1 only
	is.Equal(len(r.Gaps), 1)
	is.Equal(r.Silent, []string{"e2"})

	var out bytes.Buffer
	r.Text(&out)
	is.Equal(out.String(), `  06:00:00.000 e1: Catalogue changed., server i-1, state ready, from store, revision 9, age ms 0
06:00:01.000 e1: forward, placed, to i-1, tier local, load 0.25, configuration 7, epoch 2, revision 9, known ms ago: 120
  06:00:01.150 e1: Backend server is suspected., server i-1, evidence own traffic, accounts 2, silent ms 900
06:00:01.200 e2: forward, moved, copy 1, to i-2, unanswered before by i-1
gap: 06:00:02.000 e1 left out 12 lines.
gap: e2 has no line after the last decision.
`)
}

// TestExplainRefusal covers a flow that was refused for lack of room: the report names what
// the refusal rests on, and the room of the services involved only.
func TestExplainRefusal(t *testing.T) {
	const log = `{"time":"2026-12-04T06:00:00.000Z","msg":"Service room has changed.","instance":"e1","part":"flows","service":"desk","state":"full","load":4.5,"slots":240,"senders":24,"load_age_ms":400}
{"time":"2026-12-04T06:00:00.100Z","msg":"Service room has changed.","instance":"e1","part":"flows","service":"other","state":"full"}
{"time":"2026-12-04T06:00:01.000Z","msg":"Flow decided.","instance":"e1","part":"flows","flow":"100.64.0.7:4001","copy":0,"action":"reset","reason":"overloaded","service":"desk","tier":"unusable","load_age_ms":700,"overflow_from":"sheet","admitted_part":0.49}
`
	is := is.New(t)
	var out bytes.Buffer
	Explain(read(t, log), Query{Flow: "100.64.0.7:4001"}).Text(&out)
	is.Equal(out.String(), `  06:00:00.000 e1: Service room has changed., service desk, state full, load 4.5, slots 240, senders 24, load ms ago: 400
06:00:01.000 e1: reset, overloaded, tier unusable, load ms ago: 700, overflow from service sheet, admitted part 0.49
gap: e1 has no line after the last decision.
`)
}

func TestExplainUnknownFlow(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	Explain(read(t, firstLog), Query{Flow: "100.64.0.9:1"}).Text(&out)
	is.Equal(out.String(), "No decision about this flow is in the logs.\n")
}

func TestExplainReportsGapsWithoutDecisions(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 12, 4, 6, 0, 1, 500e6, time.UTC)
	r := Explain(read(t, firstLog), Query{Instance: "e1", To: "198.18.0.9:1", From: at, Until: at.Add(time.Second)})
	is.Equal(len(r.Decisions), 0)
	is.Equal(len(r.Gaps), 1)
}

func TestQueryFilters(t *testing.T) {
	at := time.Date(2026, 12, 4, 6, 0, 1, 0, time.UTC)
	for _, c := range []struct {
		name  string
		query Query
		want  int
	}{
		{"all flows of an instance", Query{Instance: "e1"}, 2},
		{"one destination", Query{To: "198.18.0.1:443"}, 3},
		{"time span", Query{From: at, Until: at.Add(50 * time.Millisecond)}, 1},
		{"another destination", Query{Flow: "100.64.0.7:4001", To: "198.18.0.9:1"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(Explain(read(t, firstLog+secondLog), c.query).Decisions), c.want)
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(firstLog))
	f.Fuzz(func(_ *testing.T, data []byte) {
		lines, _, err := Read(bytes.NewReader(data))
		if err == nil {
			Explain(lines, Query{}).Text(&bytes.Buffer{})
		}
	})
}
