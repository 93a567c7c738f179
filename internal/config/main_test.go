package config

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var dataCentreNames = []string{"a", "b", "c"}

// testDocument returns a document with one service for each size, with that number
// of backend servers spread over three data centres.
func testDocument(sizes ...int) Document {
	doc := Document{Format: DocumentFormat}
	for _, name := range dataCentreNames {
		doc.DataCentres = append(doc.DataCentres, DataCentreSpec{Name: name})
	}
	for i, size := range sizes {
		s := ServiceDocument{ServiceSpec: ServiceSpec{
			Name: fmt.Sprintf("service-%d", i), Protocol: TCP, Slots: 4,
			Address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, byte(113 + i>>8), byte(i)}), 443),
			IdleLimit: Duration(time.Hour),
			Ramp:      RampSpec{Start: 0.1, Duration: Duration(time.Minute)},
		}}
		for j := range size {
			s.BackendServers = append(s.BackendServers, testServer(i, j, dataCentreNames[j%3]))
		}
		doc.Services = append(doc.Services, s)
	}
	return doc
}

func testServer(service, index int, dataCentre string) ServerSpec {
	addr := netip.AddrFrom4([4]byte{byte(60 + service>>8), byte(service), byte(index >> 8), byte(index)})
	return ServerSpec{
		Name: fmt.Sprintf("s%d-%d", service, index), DataCentre: dataCentre, Weight: 100, State: Active,
		Packets: netip.AddrPortFrom(addr, 4754), Requests: netip.AddrPortFrom(addr, 8080),
		Health: fmt.Sprintf("http://%v:8081/health", addr),
	}
}

func testChange(id string, baseVersion Version) Change {
	return Change{ID: id, BaseVersion: baseVersion, Who: "operator", HashKey: [HashKeySize]byte{1}}
}

// mustAccept returns the version after old with the given document. It fails the test
// on an error.
func mustAccept(t interface{ Fatal(...any) }, old *State, doc Document, force bool) *State {
	c := testChange("first", 0)
	if old != nil {
		c = testChange(fmt.Sprintf("change-%d", old.Version), old.Version)
	}
	c.Force = force
	next, _, err := Accept(old, doc, c)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// drawEdit returns the document with one random edit, which may make it invalid.
func drawEdit(t *rapid.T, doc Document, step int) Document {
	doc = doc.Clone()
	s := &doc.Services[rapid.IntRange(0, len(doc.Services)-1).Draw(t, "service")]
	pick := func() *ServerSpec {
		if len(s.BackendServers) == 0 {
			return nil
		}
		return &s.BackendServers[rapid.IntRange(0, len(s.BackendServers)-1).Draw(t, "server")]
	}
	server := pick()
	switch kind := rapid.IntRange(0, 6).Draw(t, "kind"); {
	case kind == 0:
		dc := &doc.DataCentres[rapid.IntRange(0, len(doc.DataCentres)-1).Draw(t, "dc")]
		dc.Out = !dc.Out
	case kind == 1 || server == nil:
		s.BackendServers = append(s.BackendServers, testServer(100+step%100, step, dataCentreNames[step%3]))
	case kind == 2:
		server.State = Draining
	case kind == 3:
		server.State = Active
	case kind == 4:
		server.Weight = rapid.Uint32Range(1, 3).Draw(t, "weight") * 100
	case kind == 5:
		*server = s.BackendServers[0]
		s.BackendServers = s.BackendServers[1:]
	default:
		server.Packets = netip.AddrPortFrom(server.Packets.Addr(), server.Packets.Port()+1)
	}
	return doc
}

// drawMark sets a random mark, or removes it if it is set. It returns state itself if
// the declaration has the same setting.
func drawMark(t *rapid.T, state *State) *State {
	mark := Mark{DataCentre: dataCentreNames[rapid.IntRange(0, 2).Draw(t, "marked data centre")]}
	servers := state.Document().Services[0].BackendServers
	if rapid.Bool().Draw(t, "mark server") && len(servers) > 0 {
		i := rapid.IntRange(0, len(servers)-1).Draw(t, "marked server")
		mark = Mark{Service: state.Services[0].Name, Server: servers[i].Name}
	}
	propose := SetMark(mark)
	if slices.Contains(state.Marks(), mark) {
		propose = RemoveMark(mark)
	}
	c := testChange(fmt.Sprintf("mark-%d", state.Version), state.Version)
	c.Force = true
	next, _, err := propose(state, c)
	if AlreadyDeclared.Has(err) {
		return state
	}
	if err != nil {
		t.Fatal(err)
	}
	if slices.Contains(next.Marks(), mark) == slices.Contains(state.Marks(), mark) {
		t.Fatalf("mark %v did not change", mark)
	}
	return next
}

// checkMarks compares the marks before and after a declaration: marks on data centres
// and backend servers that are still declared stay, and none is added.
func checkMarks(t *rapid.T, before, state *State) {
	var want []Mark
	for _, dc := range state.DataCentres {
		if slices.Contains(before.Marks(), Mark{DataCentre: dc.Name}) {
			want = append(want, Mark{DataCentre: dc.Name})
		}
	}
	for _, s := range state.Services {
		for _, record := range s.Servers {
			mark := Mark{Service: s.Name, Server: record.Name}
			old := before.findService(s.Name).server(record.Number)
			if old != nil && old.Removed == 0 && record.Removed == 0 && slices.Contains(before.Marks(), mark) {
				want = append(want, mark)
			}
		}
	}
	if !slices.Equal(state.Marks(), want) {
		t.Fatalf("marks %v became %v, want %v", before.Marks(), state.Marks(), want)
	}
}
