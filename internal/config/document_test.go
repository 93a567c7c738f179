package config

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/strictjson"
)

// TestParseDocumentReportsAll parses a document with many errors and checks that
// exactly these are reported, with their paths.
func TestParseDocumentReportsAll(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/broken.json")
	is.NoErr(err)
	_, err = ParseDocument(data)
	problems, ok := err.(strictjson.Problems)
	is.True(ok)
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	want := []string{
		"dataCentres[1].colour", "services[0].slots", "services[0].slots", "services[0].backendServers[0].state",
		"services[0].backendServers[1].packets", "services[0].backendServers[2].weight",
		"format", "dataCentres[1].name", "services[0].idleLimit", "services[0].ramp.start",
		"services[0].backendServers[0].health", "services[0].backendServers[2].name",
		"services[0].backendServers[2].dataCentre", "services[0].backendServers[2].packets",
		"services[1].address", "services[1].backendServers[0].packets", "services[1].backendServers[0].weight",
	}
	is.Equal(strings.Join(paths, "\n"), strings.Join(want, "\n"))
}

func TestDocumentRoundTrip(t *testing.T) {
	is := is.New(t)
	doc := testDocument(14, 4)
	data, err := doc.Marshal()
	is.NoErr(err)
	again, err := ParseDocument(data)
	is.NoErr(err)
	is.Equal(doc, again)
	is.Equal(doc, mustAccept(t, nil, doc, false).Document())
}

func FuzzParseDocument(f *testing.F) {
	data, _ := testDocument(2, 1).Marshal()
	f.Add(data)
	broken, _ := os.ReadFile("testdata/broken.json")
	f.Add(broken)
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := ParseDocument(data)
		if err != nil {
			return
		}
		out, err := doc.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseDocument(out); err != nil {
			t.Fatalf("a valid document is rejected after encoding: %v", err)
		}
		c := testChange("x", 0)
		c.Force = true
		state, _, err := Accept(nil, doc, c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := state.Config(); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzState decodes arbitrary stored forms. From one that passes Check, building the
// configuration, settling, encoding and proposals must work.
func FuzzState(f *testing.F) {
	state := mustAccept(f, nil, testDocument(3, 2), false)
	data, _ := json.Marshal(state)
	f.Add(data)
	newer := strings.Replace(string(data), `"format":2`, `"format":3,"new":{"a":[1]}`, 1)
	if newer == string(data) {
		f.Fatal("the stored form does not have format 2")
	}
	f.Add([]byte(newer))
	for _, name := range []string{"testdata/state-1.json", "testdata/state-2.json"} {
		stored, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(stored)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s State
		if json.Unmarshal(data, &s) != nil || s.Check() != nil {
			return
		}
		if _, err := s.Config(); err != nil {
			t.Fatal(err)
		}
		for _, r := range s.Services {
			if _, err := Rebase(&s, r.Name, "x"); err != nil {
				t.Fatal(err)
			}
		}
		proposals := []Proposal{Restore(&s), Declare(s.Document())}
		for _, dc := range s.DataCentres {
			proposals = append(proposals, SetMark(Mark{DataCentre: dc.Name}), RemoveMark(Mark{DataCentre: dc.Name}))
		}
		for i, propose := range proposals {
			old := &s
			if i == 0 {
				old = nil // an empty store
			}
			c := testChange("x", old.VersionID().Version)
			c.Force = true
			next, _, err := propose(old, c)
			if err == nil && s.Version+1 > s.Version && next.Check() != nil {
				t.Fatalf("proposal %d: %v", i, next.Check())
			}
		}
		if _, err := json.Marshal(s); err != nil {
			t.Fatal(err)
		}
	})
}
