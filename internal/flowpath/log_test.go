package flowpath

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/decisionlog"
	"balsamfork/internal/overload"
	"balsamfork/internal/selection"
	"balsamfork/internal/serverload"
	"balsamfork/internal/suspicion"
)

// line is the decoded log line of a decision.
type line struct {
	Flow, To, Action, Reason, Service, Tier, Server, Unanswered string

	Copy, Version, Revision *int
	AgeMS                   *int `json:"age_ms"`
	Cookie                  uint32
	Load                    *float64
}

// TestEachDecisionLogsItsInputs writes a line for every reason and checks that it
// holds the inputs of the decision.
func TestEachDecisionLogsItsInputs(t *testing.T) {
	h := newHarness(2, nil)
	backend := h.open(1, 0).Backend
	for reason := range Reason(len(reasonNames)) {
		if reason == Known {
			continue // packets of known flows are not logged
		}
		t.Run(reason.String(), func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			log := slog.New(slog.NewJSONHandler(&out, nil))
			p := &Path{decider: h.Decider, recorder: decisionlog.NewRecorder(log)}
			v := Verdict{Reason: reason, Service: "desk", Tier: selection.Remote, Backend: backend, Unanswered: backend}
			packet := Packet{Flow: flow(7), Copy: 1, Cookie: 9}
			p.log(&packet, &v, CatalogueState{Snapshot: h.mirror.Snapshot(), Known: h.now - 30*ms}, h.now)
			var got line
			is.NoErr(json.Unmarshal(out.Bytes(), &got))
			is.Equal(got.Flow, "100.64.0.7:7")
			is.Equal(got.To, "198.18.0.1:443")
			is.Equal(got.Reason, reason.String())
			is.Equal(got.Action, "forward")
			is.Equal(*got.Copy, 1)
			is.Equal(*got.Revision, 100)
			is.Equal(*got.AgeMS, 30)
			is.Equal(*got.Version, 1)
			is.Equal(got.Service, "desk")
			is.Equal(got.Tier, "remote")
			is.Equal(got.Server, backend.Name)
			is.Equal(got.Unanswered, backend.Name)
			is.Equal(got.Cookie, uint32(9))
			is.True(got.Load != nil)
		})
	}
}

// TestLoadLinesNameTheirInputs checks the log lines on rooms and speeds, and that a refusal is
// counted by its priority.
func TestLoadLinesNameTheirInputs(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	scope := tally.NewTestScope("", nil)
	p := &Path{Options: Options{Log: slog.New(slog.NewJSONHandler(&out, nil))}, metrics: newMetrics(scope)}
	p.RoomChanged("desk", overload.Full, overload.Room{Load: 4.5, Slots: 80, Age: 700 * time.Millisecond}, 24)
	p.SpeedChanged(newHarness(1, nil).mirror.Snapshot().Backends("desk")[0], serverload.Server{Speed: 0.25, Response: 90 * time.Millisecond})
	for _, want := range []string{
		`"msg":"Service room has changed.","service":"desk","state":"full","load":4.5,"slots":80,"senders":24,"load_age_ms":700}`,
		`"msg":"Backend server's speed has changed.","server":"s0","data_centre":"a","service":"desk","speed":0.25,"response_ms":90}`,
	} {
		is.True(strings.Contains(out.String(), want))
	}
	p.metrics.count(&Packet{Kind: Opening}, &Verdict{Action: Reset, Reason: Overloaded, Load: LoadInputs{Rank: 2}}, 0, 0)
	is.Equal(scope.Snapshot().Counters()["load.refusals+priority=2"].Value(), int64(1))
}

// TestSuspicionLogsItsInputs checks the log line of a server that becomes suspected.
func TestSuspicionLogsItsInputs(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	var out bytes.Buffer
	p := &Path{Options: Options{Log: slog.New(slog.NewJSONHandler(&out, nil))}, metrics: newMetrics(tally.NoopScope)}
	p.handleFinding(h.mirror.Snapshot().Backends("desk")[0], suspicion.NoData, suspicion.Finding{Suspected: true, Failures: 2}, "peers")
	var got struct {
		Server, Evidence, Missing string
		DataCentre                string `json:"data_centre"`
		Accounts                  int
	}
	is.NoErr(json.Unmarshal(out.Bytes(), &got))
	is.Equal(got.Server, "s0")
	is.Equal(got.DataCentre, "a")
	is.Equal(got.Evidence, "peers")
	is.Equal(got.Missing, "no_data")
	is.Equal(got.Accounts, 2)
}
